#ifndef CITRONLANE_TESTS_SUPPORT_ENGINE_POOL_CASES_H_
#define CITRONLANE_TESTS_SUPPORT_ENGINE_POOL_CASES_H_

#include <algorithm>

#include "support/engine_pool_model.h"

namespace citronlane {

// Pools of engines that tests compare ways to place requests in.

inline EnginePoolModel::Options Alike(double load) {
  EnginePoolModel::Options options;
  options.factors_.assign(24, 1);
  options.load_ = load;
  return options;
}

inline EnginePoolModel::Options Uneven(double load) {
  EnginePoolModel::Options options;
  for (int i = 0; i < 8; ++i) {
    options.factors_.insert(options.factors_.end(), {0.7, 0.7, 1.7});
  }
  options.load_ = load;
  options.spells_per_second_ = 0.1;
  return options;
}

inline EnginePoolModel::Options WithNewOwner(EnginePoolModel::Options options) {
  options.new_router_at_ = 15;
  return options;
}

inline EnginePoolModel::Options WithLongPrompts(
    EnginePoolModel::Options options,
    double memory) {
  options.long_share_ = 0.3;
  options.memory_ = memory;
  return options;
}

// Sums and extremes over three seeds.
inline EnginePoolModel::Result Play(EnginePoolModel::Options options,
                                    EnginePoolModel::Way way) {
  options.way_ = way;
  EnginePoolModel::Result sum;
  bool has_learned = true;
  for (const unsigned seed : {1U, 2U, 3U}) {
    options.seed_ = seed;
    const auto one = EnginePoolModel(options).Run();
    sum.arrived_ += one.arrived_;
    sum.in_time_ += one.in_time_;
    sum.in_vain_ += one.in_vain_ / 3;
    sum.preemptions_ += one.preemptions_;
    sum.longest_unused_ = std::max(sum.longest_unused_, one.longest_unused_);
    has_learned &= one.learned_after_ >= 0;
    sum.learned_after_ =
        has_learned ? std::max(sum.learned_after_, one.learned_after_) : -1;
    sum.by_second_.resize(one.by_second_.size());
    for (size_t i = 0; i < one.by_second_.size(); ++i) {
      sum.by_second_[i] += one.by_second_[i] / 3;
    }
  }
  return sum;
}

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_ENGINE_POOL_CASES_H_
