#include "policy/run_result.h"

#include <algorithm>

namespace citronlane {

double RunResult::Cost() const {
  double sum = 0;
  for (const auto& [pool, cost] : cost_by_stage_) {
    sum += cost;
  }
  return sum;
}

double RunResult::Goodput() const {
  return static_cast<double>(useful_engine_time_.count()) /
         std::max(1.0, static_cast<double>(engine_time_.count()));
}

double RunResult::RetryAmplification() const {
  const auto first = static_cast<double>(std::max<uint64_t>(1, first_calls_));
  return (first + static_cast<double>(retry_calls_)) / first;
}

double RunResult::HedgeCostPart() const {
  return hedge_cost_ / std::max(1.0, Cost());
}

}  // namespace citronlane
