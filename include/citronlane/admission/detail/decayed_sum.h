#ifndef CITRONLANE_ADMISSION_DETAIL_DECAYED_SUM_H_
#define CITRONLANE_ADMISSION_DETAIL_DECAYED_SUM_H_

#include <cmath>

#include "citronlane/base/time.h"

namespace citronlane {

/// Sum whose terms halve every half-life, as a measure of recent use. Not
/// thread safe.
class DecayedSum {
 public:
  explicit DecayedSum(Duration half_life) : half_life_(half_life) {}

  void Add(TimePoint now, double amount) {
    sum_ = At(now) + amount;
    at_ = now;
  }
  double At(TimePoint now) const {
    const auto age = static_cast<double>((now - at_).count());
    return sum_ * std::exp2(-age / static_cast<double>(half_life_.count()));
  }

 private:
  Duration half_life_;
  double sum_ = 0;
  TimePoint at_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_DECAYED_SUM_H_
