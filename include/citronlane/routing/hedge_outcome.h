#ifndef CITRONLANE_ROUTING_HEDGE_OUTCOME_H_
#define CITRONLANE_ROUTING_HEDGE_OUTCOME_H_

#include <string_view>

namespace citronlane {

/// Why a slow call was hedged or not. Each outcome has a metrics counter.
enum class HedgeOutcome {
  kHedged,
  /// The call may not be repeated.
  kNonIdempotent,
  /// Batch work is never hedged.
  kBatch,
  /// The hedge delay has not passed, or too few calls were observed to know it.
  kNotSlow,
  /// A second call could not finish before the deadline.
  kNoTime,
  /// The pool is busy: a second call would make it worse.
  kOverloaded,
  /// The class is close to its spend limit.
  kSpendTight,
  kBudgetExhausted,
};

/// Returns the stable name used in metrics, e.g. "hedged". Thread safe.
std::string_view ToString(HedgeOutcome outcome);

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_HEDGE_OUTCOME_H_
