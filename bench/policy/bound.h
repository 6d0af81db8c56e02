#ifndef CITRONLANE_BENCH_POLICY_BOUND_H_
#define CITRONLANE_BENCH_POLICY_BOUND_H_

#include <string>

namespace citronlane {

/// A measured value with its allowed range.
struct Bound {
  std::string name_;
  double value_ = 0;
  double min_ = 0;
  double max_ = 0;

  bool Holds() const { return value_ >= min_ && value_ <= max_; }
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_BOUND_H_
