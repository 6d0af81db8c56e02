#ifndef CITRONLANE_REQUEST_FINISH_REQUEST_H_
#define CITRONLANE_REQUEST_FINISH_REQUEST_H_

#include <cstdint>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/verdict.h"

namespace citronlane {

/// Command, given exactly once and last: the request is over.
struct FinishRequest {
  /// The whole answer is there; otherwise `reason_` says why not.
  bool whole_ = false;
  RefusalReason reason_ = RefusalReason::kInternal;
  Verdict verdict_ = Verdict::kNotRun;
  /// Stage that decided.
  uint32_t stage_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_FINISH_REQUEST_H_
