#ifndef CITRONLANE_BENCH_POLICY_BOUND_H_
#define CITRONLANE_BENCH_POLICY_BOUND_H_

#include <string>

namespace citronlane {

/// A figure and what it must come to.
struct Bound {
  std::string name_;
  double value_ = 0;
  double least_ = 0;
  double most_ = 0;

  bool Holds() const { return value_ >= least_ && value_ <= most_; }
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_BOUND_H_
