#ifndef CITRONLANE_REQUEST_ARM_HEDGE_H_
#define CITRONLANE_REQUEST_ARM_HEDGE_H_

#include "citronlane/request/attempt_id.h"

namespace citronlane {

/// Command: call Request::OnHedgeTime for the attempt once the hedge delay of
/// its pool has passed.
struct ArmHedge {
  AttemptId attempt_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_ARM_HEDGE_H_
