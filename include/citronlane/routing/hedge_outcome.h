#ifndef CITRONLANE_ROUTING_HEDGE_OUTCOME_H_
#define CITRONLANE_ROUTING_HEDGE_OUTCOME_H_

#include <string_view>

namespace citronlane {

/// Why a slow call was hedged or not; each has its counter.
enum class HedgeOutcome {
  kHedged,
  /// The call may not be repeated.
  kNonIdempotent,
  /// Batch work waits.
  kBatch,
  /// Not slow yet, or what is slow is not known yet.
  kNotSlow,
  /// The answer could not be ready in time.
  kNoTime,
  /// The pool is busy: a second call would make it worse.
  kOverloaded,
  /// The class's spend runs low.
  kSpendTight,
  kBudgetExhausted,
};

/// Returns the stable name used in metrics, e.g. "hedged". Thread safe.
std::string_view ToString(HedgeOutcome outcome);

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_HEDGE_OUTCOME_H_
