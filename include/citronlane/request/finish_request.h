#ifndef CITRONLANE_REQUEST_FINISH_REQUEST_H_
#define CITRONLANE_REQUEST_FINISH_REQUEST_H_

#include <cstdint>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/verdict.h"

namespace citronlane {

/// Command: the request ended. Returned exactly once, as the last command.
struct FinishRequest {
  /// All stages succeeded; otherwise `reason_` is why they did not.
  bool complete_ = false;
  RefusalReason reason_ = RefusalReason::kInternal;
  Verdict verdict_ = Verdict::kNotRun;
  /// Index of the stage at which the request ended.
  uint32_t stage_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_FINISH_REQUEST_H_
