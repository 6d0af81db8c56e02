#ifndef CITRONLANE_REQUEST_STAGE_RESULT_H_
#define CITRONLANE_REQUEST_STAGE_RESULT_H_

#include <string>

#include "citronlane/request/attempt_id.h"
#include "citronlane/request/stage_output.h"

namespace citronlane {

/// A complete reply to a stage call.
struct StageResult {
  /// The call on whose connection it arrived.
  AttemptId attempt_;
  /// X-Attempt-Id of the reply.
  std::string echoed_id_;
  StageOutput output_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_STAGE_RESULT_H_
