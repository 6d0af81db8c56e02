#ifndef CITRONLANE_ADMISSION_DETAIL_POOL_PRESSURE_H_
#define CITRONLANE_ADMISSION_DETAIL_POOL_PRESSURE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"

namespace citronlane {

/// How close one pool is to missing targets. For each class it is the fraction
/// of the slack (allowed time minus the time in an idle pool) that queueing
/// uses up; the highest one counts. Not thread safe.
class PoolPressure {
 public:
  /// Records an estimate for a class. Returns the fraction that it uses of the
  /// slack between the class's idle estimate and `allowed`: 1 is the limit.
  double RecordEstimate(TimePoint now,
                        std::string_view class_name,
                        Duration expected,
                        Duration allowed);

  /// Highest fraction over all classes, smoothed over their estimates; decays
  /// without new ones.
  double At(TimePoint now) const;
  /// The same without smoothing: from the last estimate of each class alone.
  double Latest(TimePoint now) const;

  /// Records that interactive work was refused because of this pool's load.
  void RecordRefusal(TimePoint now) { refused_at_ = now; }
  /// Whether that happened recently, so that batch work has to yield.
  bool RefusedLately(TimePoint now) const;

 private:
  struct ClassPressure {
    /// Lowest recent estimate, which rises slowly.
    double idle_us_ = 0;
    double smoothed_ = 0;
    double latest_ = 0;
    TimePoint at_{};
  };

  double Highest(TimePoint now, double ClassPressure::*pressure) const;

  std::map<std::string, ClassPressure, std::less<>> classes_;
  std::optional<TimePoint> refused_at_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_POOL_PRESSURE_H_
