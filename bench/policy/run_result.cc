#include "policy/run_result.h"

#include <algorithm>

namespace citronlane {
namespace {

template <typename Map>
void AddAll(const Map& from, Map* to) {
  for (const auto& [name, value] : from) {
    (*to)[name] += value;
  }
}

void AddAll(const std::map<std::string, Tally>& from,
            std::map<std::string, Tally>* to) {
  for (const auto& [name, tally] : from) {
    (*to)[name].Add(tally);
  }
}

}  // namespace

void RunResult::Add(const RunResult& other) {
  interactive_.Add(other.interactive_);
  AddAll(other.by_class_, &by_class_);
  AddAll(other.by_account_, &by_account_);
  AddAll(other.refusals_, &refusals_);
  AddAll(other.failures_, &failures_);
  AddAll(other.hedges_, &hedges_);
  AddAll(other.retries_, &retries_);
  AddAll(other.cost_by_stage_, &cost_by_stage_);
  hedge_cost_ += other.hedge_cost_;
  first_calls_ += other.first_calls_;
  hedge_calls_ += other.hedge_calls_;
  retry_calls_ += other.retry_calls_;
  useful_engine_time_ += other.useful_engine_time_;
  engine_time_ += other.engine_time_;
}

double RunResult::SmallAccounts() const {
  Tally sum;
  for (const auto& [account, tally] : by_account_) {
    if (account.rfind("small", 0) == 0) {
      sum.Add(tally);
    }
  }
  return sum.MetOfOffered();
}

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

double RunResult::HedgeCostRatio() const {
  return hedge_cost_ / std::max(1.0, Cost());
}

}  // namespace citronlane
