#ifndef CITRONLANE_ROUTING_HEDGE_POLICY_H_
#define CITRONLANE_ROUTING_HEDGE_POLICY_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "citronlane/routing/budget.h"
#include "citronlane/routing/hedge_outcome.h"
#include "citronlane/routing/hedge_query.h"

namespace citronlane {

/// Decides whether a slow call of one pool is also sent to a second server. It
/// neither chooses the server (see PoolRouter) nor makes the call. Not thread
/// safe.
class HedgePolicy {
 public:
  /// `budget_ratio` bounds hedges to this fraction of the first calls.
  explicit HedgePolicy(double budget_ratio = kDefaultBudgetRatio);

  /// A first call was made: earns `budget_ratio` of a hedge.
  void OnFirstCall() { budget_.Earn(); }

  /// Decides for a call that has reached its hedge delay. Takes one hedge from
  /// the budget when it returns kHedged.
  HedgeOutcome Decide(const HedgeQuery& query);

  /// How often Decide gave the outcome.
  uint64_t count(HedgeOutcome outcome) const {
    return counts_[static_cast<size_t>(outcome)];
  }

 private:
  static constexpr double kDefaultBudgetRatio = 0.05;
  static constexpr size_t kOutcomes =
      static_cast<size_t>(HedgeOutcome::kBudgetExhausted) + 1;

  HedgeOutcome Check(const HedgeQuery& query);

  Budget budget_;
  std::array<uint64_t, kOutcomes> counts_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_HEDGE_POLICY_H_
