#ifndef CITRONLANE_ROUTING_RETRY_POLICY_H_
#define CITRONLANE_ROUTING_RETRY_POLICY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "citronlane/base/verdict.h"
#include "citronlane/routing/budget.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/retry_decision.h"
#include "citronlane/routing/retry_query.h"

namespace citronlane {

/// Decides whether a failed call of one pool is retried: only a call that may
/// be repeated, within a budget, and never past the deadline. It neither
/// chooses the next server (see PoolRouter) nor makes the call. Randomness is
/// passed in. Not thread safe.
class RetryPolicy {
 public:
  /// Returns a number below its argument, which is at least 1.
  using RandomHook = std::function<uint64_t(uint64_t)>;

  explicit RetryPolicy(RandomHook random);

  /// A first call was made: earns a fraction of a retry.
  void OnFirstCall() { budget_.Earn(); }

  /// Decides for a call that ended; takes a retry from the budget when it
  /// grants one.
  RetryDecision Decide(const RetryQuery& query);

  /// Whether the call may have run, derived from how it ended. Thread safe.
  static Verdict VerdictOf(CallOutcome outcome, bool rejection_means_not_run);

  /// How often Decide gave the outcome.
  uint64_t count(RetryOutcome outcome) const {
    return counts_[static_cast<size_t>(outcome)];
  }

 private:
  static constexpr size_t kOutcomes =
      static_cast<size_t>(RetryOutcome::kBudgetExhausted) + 1;

  /// Random wait with full jitter; its bound doubles with each attempt.
  Duration Backoff(uint32_t attempts);
  RetryOutcome Check(const RetryQuery& query, Duration backoff);

  const RandomHook random_;
  Budget budget_;
  std::array<uint64_t, kOutcomes> counts_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_RETRY_POLICY_H_
