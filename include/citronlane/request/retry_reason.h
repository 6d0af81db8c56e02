#ifndef CITRONLANE_REQUEST_RETRY_REASON_H_
#define CITRONLANE_REQUEST_RETRY_REASON_H_

#include <cstddef>
#include <string_view>

namespace citronlane {

enum class CallMode;
enum class CallOutcome;

/// Why a stage call is retried. Each reason has a metrics counter.
enum class RetryReason {
  kConnectFailed,
  kRejected,
  kServerError,
  kClosedAfterSend,
  kTimeout,
  kWrongId,
  kStreamResumed,
  kStreamContinued,
};

constexpr size_t kRetryReasons = 8;

/// Returns the stable snake_case name, e.g. "connect_failed". Thread safe.
std::string_view ToString(RetryReason reason);

/// Returns the reason of a call in `mode` after one that ended with `outcome`.
/// Thread safe.
RetryReason ReasonOf(CallMode mode, CallOutcome outcome);

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_RETRY_REASON_H_
