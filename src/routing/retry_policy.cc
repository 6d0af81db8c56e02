#include "citronlane/routing/retry_policy.h"

#include <algorithm>
#include <utility>

namespace citronlane {
namespace {

constexpr double kBudgetRatio = 0.1;
constexpr double kBudgetBurst = 10;
/// Calls for one stage, the first one included.
constexpr uint32_t kMaxAttempts = 3;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(10);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);

RetryOutcome RetryOutcomeFor(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kConnectFailed:
      return RetryOutcome::kAfterConnectFailed;
    case CallOutcome::kRejected:
      return RetryOutcome::kAfterRejected;
    case CallOutcome::kServerError:
      return RetryOutcome::kAfterServerError;
    case CallOutcome::kClosedAfterSend:
      return RetryOutcome::kAfterClosed;
    case CallOutcome::kTimeout:
      return RetryOutcome::kAfterTimeout;
    case CallOutcome::kWrongId:
      return RetryOutcome::kAfterWrongId;
    case CallOutcome::kSuccess:
    case CallOutcome::kCancelled:
      break;
  }
  return RetryOutcome::kNotFailed;
}

}  // namespace

RetryPolicy::RetryPolicy(RandomHook random)
    : random_(std::move(random)), budget_(kBudgetRatio, kBudgetBurst) {}

Verdict RetryPolicy::VerdictOf(CallOutcome outcome,
                               bool rejection_means_not_run) {
  switch (outcome) {
    case CallOutcome::kConnectFailed:
      return Verdict::kNotRun;
    case CallOutcome::kRejected:
      return rejection_means_not_run ? Verdict::kNotRun : Verdict::kMayHaveRun;
    case CallOutcome::kSuccess:
      return Verdict::kRan;
    default:
      return Verdict::kMayHaveRun;
  }
}

Duration RetryPolicy::Backoff(uint32_t attempts) {
  const uint32_t doublings = std::min(attempts, kMaxAttempts) - 1;
  const Duration longest =
      std::min(kInitialBackoff * (1U << doublings), kMaxBackoff);
  const auto bound = static_cast<uint64_t>(longest.count());
  return Duration(static_cast<Duration::rep>(random_(bound)));
}

RetryOutcome RetryPolicy::Check(const RetryQuery& query, Duration backoff) {
  const RetryOutcome granted = RetryOutcomeFor(query.outcome_);
  if (granted == RetryOutcome::kNotFailed) {
    return granted;
  }
  const Verdict verdict =
      VerdictOf(query.outcome_, query.rejection_means_not_run_);
  if (query.non_idempotent_ && verdict != Verdict::kNotRun) {
    return RetryOutcome::kMayHaveRun;
  }
  if (query.attempts_ >= kMaxAttempts) {
    return RetryOutcome::kTooManyAttempts;
  }
  const Duration expected = query.expected_.value_or(Duration::zero());
  if (backoff + expected >= query.remaining_) {
    return RetryOutcome::kNoTime;
  }
  return budget_.TrySpend() ? granted : RetryOutcome::kBudgetExhausted;
}

RetryDecision RetryPolicy::Decide(const RetryQuery& query) {
  const Duration backoff = Backoff(std::max(1U, query.attempts_));
  const RetryOutcome outcome = Check(query, backoff);
  ++counts_[static_cast<size_t>(outcome)];
  return {outcome, IsRetry(outcome) ? backoff : Duration::zero()};
}

std::string_view ToString(RetryOutcome outcome) {
  switch (outcome) {
    case RetryOutcome::kAfterConnectFailed:
      return "after_connect_failed";
    case RetryOutcome::kAfterRejected:
      return "after_rejected";
    case RetryOutcome::kAfterServerError:
      return "after_server_error";
    case RetryOutcome::kAfterClosed:
      return "after_closed";
    case RetryOutcome::kAfterTimeout:
      return "after_timeout";
    case RetryOutcome::kAfterWrongId:
      return "after_wrong_id";
    case RetryOutcome::kNotFailed:
      return "not_failed";
    case RetryOutcome::kMayHaveRun:
      return "may_have_run";
    case RetryOutcome::kTooManyAttempts:
      return "too_many_attempts";
    case RetryOutcome::kNoTime:
      return "no_time";
    case RetryOutcome::kBudgetExhausted:
      return "budget_exhausted";
  }
  return "unknown";
}

}  // namespace citronlane
