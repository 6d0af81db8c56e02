#ifndef CITRONLANE_ROUTING_STAGE_TIME_H_
#define CITRONLANE_ROUTING_STAGE_TIME_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// How much of the time that is left one stage may take.
struct StageTime {
  /// Time after which a call without any reply is worth a retry elsewhere. The
  /// call continues when RetryPolicy does not grant one.
  Duration share_{};
  /// Time after which the later stages could not finish before the deadline.
  Duration limit_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_STAGE_TIME_H_
