#ifndef CITRONLANE_ROUTING_DETAIL_DECAYED_MEAN_H_
#define CITRONLANE_ROUTING_DETAIL_DECAYED_MEAN_H_

#include <algorithm>
#include <cstddef>

namespace citronlane {

/// Exponentially weighted moving average. The first samples weigh as in a plain
/// mean. Not thread safe.
class DecayedMean {
 public:
  /// `weight` of a new sample, above 0 and at most 1.
  explicit DecayedMean(double weight) : weight_(weight) {}

  void Add(double sample) {
    ++count_;
    const double weight = std::max(weight_, 1.0 / static_cast<double>(count_));
    value_ += weight * (sample - value_);
  }
  /// Multiplies the mean by `factor`.
  void Scale(double factor) { value_ *= factor; }
  void Reset() {
    value_ = 0;
    count_ = 0;
  }

  /// 0 while count() is 0.
  double value() const { return value_; }
  /// Samples added since the last Reset.
  size_t count() const { return count_; }

 private:
  double weight_;
  double value_ = 0;
  size_t count_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_DECAYED_MEAN_H_
