#ifndef CITRONLANE_ADMISSION_DETAIL_POOL_PRESSURE_H_
#define CITRONLANE_ADMISSION_DETAIL_POOL_PRESSURE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"

namespace citronlane {

/// How near one pool is to where targets are missed: each class tells what
/// part of its slack the queues use up; the tightest one counts. Not thread
/// safe.
class PoolPressure {
 public:
  /// Notes an estimate for a class and returns the part of the slack between
  /// the class's idle estimate and `allowed` that it uses: 1 is the limit.
  double Note(TimePoint now,
              std::string_view class_name,
              Duration expected,
              Duration allowed);

  /// Highest part over the classes seen lately, smoothed over their estimates.
  double At(TimePoint now) const;
  /// The same by the last estimates alone.
  double Latest(TimePoint now) const;

  /// Interactive work was refused for want of this pool.
  void NoteRefusal(TimePoint now) { refused_at_ = now; }
  /// Whether that happened just now, so that batch work has to yield.
  bool RefusedLately(TimePoint now) const;

 private:
  struct ClassPressure {
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
