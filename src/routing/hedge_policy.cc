#include "citronlane/routing/hedge_policy.h"

namespace citronlane {
namespace {

constexpr double kBudgetBurst = 5;
/// Calls of a pool under more pressure are not hedged.
constexpr double kMaxPressure = 0.5;

}  // namespace

HedgePolicy::HedgePolicy(double budget_ratio)
    : budget_(budget_ratio, kBudgetBurst) {}

HedgeOutcome HedgePolicy::Decide(const HedgeQuery& query) {
  const HedgeOutcome outcome = Check(query);
  ++counts_[static_cast<size_t>(outcome)];
  return outcome;
}

HedgeOutcome HedgePolicy::Check(const HedgeQuery& query) {
  if (query.non_idempotent_) {
    return HedgeOutcome::kNonIdempotent;
  }
  if (query.batch_) {
    return HedgeOutcome::kBatch;
  }
  if (!query.delay_ || !query.expected_ || query.elapsed_ < *query.delay_) {
    return HedgeOutcome::kNotSlow;
  }
  if (*query.expected_ >= query.remaining_) {
    return HedgeOutcome::kNoTime;
  }
  // If a second call would take as long as the slow one, the pool is slow.
  if (query.pressure_ > kMaxPressure || *query.expected_ > *query.delay_) {
    return HedgeOutcome::kOverloaded;
  }
  if (query.spend_tight_) {
    return HedgeOutcome::kSpendTight;
  }
  return budget_.TrySpend() ? HedgeOutcome::kHedged
                            : HedgeOutcome::kBudgetExhausted;
}

std::string_view ToString(HedgeOutcome outcome) {
  switch (outcome) {
    case HedgeOutcome::kHedged:
      return "hedged";
    case HedgeOutcome::kNonIdempotent:
      return "non_idempotent";
    case HedgeOutcome::kBatch:
      return "batch";
    case HedgeOutcome::kNotSlow:
      return "not_slow";
    case HedgeOutcome::kNoTime:
      return "no_time";
    case HedgeOutcome::kOverloaded:
      return "overloaded";
    case HedgeOutcome::kSpendTight:
      return "spend_tight";
    case HedgeOutcome::kBudgetExhausted:
      return "budget_exhausted";
  }
  return "unknown";
}

}  // namespace citronlane
