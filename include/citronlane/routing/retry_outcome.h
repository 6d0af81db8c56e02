#ifndef CITRONLANE_ROUTING_RETRY_OUTCOME_H_
#define CITRONLANE_ROUTING_RETRY_OUTCOME_H_

#include <string_view>

namespace citronlane {

/// Why a failed call was retried or not. Each outcome has a metrics counter.
enum class RetryOutcome {
  // Retried, by how the call failed.
  kAfterConnectFailed,
  kAfterRejected,
  kAfterServerError,
  kAfterClosed,
  kAfterTimeout,
  kAfterWrongId,
  // Not retried.
  /// The call succeeded or was cancelled.
  kNotFailed,
  /// The call may have run and may not be repeated.
  kMayHaveRun,
  kTooManyAttempts,
  /// A retry could not finish before the deadline.
  kNoTime,
  kBudgetExhausted,
};

/// Whether the outcome is a retry. Thread safe.
constexpr bool IsRetry(RetryOutcome outcome) {
  return outcome <= RetryOutcome::kAfterWrongId;
}

/// Returns the stable name used in metrics, e.g. "after_timeout". Thread safe.
std::string_view ToString(RetryOutcome outcome);

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_RETRY_OUTCOME_H_
