#ifndef CITRONLANE_ROUTING_RETRY_DECISION_H_
#define CITRONLANE_ROUTING_RETRY_DECISION_H_

#include "citronlane/base/time.h"
#include "citronlane/routing/retry_outcome.h"

namespace citronlane {

/// Whether and when a failed call is retried.
struct RetryDecision {
  RetryOutcome outcome_ = RetryOutcome::kNotFailed;
  /// Wait before the retry; zero when there is none.
  Duration backoff_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_RETRY_DECISION_H_
