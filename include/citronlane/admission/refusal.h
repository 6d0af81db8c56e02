#ifndef CITRONLANE_ADMISSION_REFUSAL_H_
#define CITRONLANE_ADMISSION_REFUSAL_H_

#include <map>
#include <string>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"

namespace citronlane {

/// Why a request is refused, with the values that the decision is based on.
struct Refusal {
  RefusalReason reason_ = RefusalReason::kInternal;
  /// Time after which a retry makes sense; zero when it never does.
  Duration retry_after_{};
  /// E.g. {"expected_ms": 2300, "target_ms": 1200}.
  std::map<std::string, double> figures_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_REFUSAL_H_
