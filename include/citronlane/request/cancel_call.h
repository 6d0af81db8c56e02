#ifndef CITRONLANE_REQUEST_CANCEL_CALL_H_
#define CITRONLANE_REQUEST_CANCEL_CALL_H_

#include "citronlane/request/attempt_id.h"

namespace citronlane {

/// Command: the attempt is no longer needed; stop its call.
struct CancelCall {
  AttemptId attempt_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_CANCEL_CALL_H_
