#include "citronlane/admission/detail/pool_pressure.h"

#include <algorithm>
#include <cmath>

namespace citronlane {
namespace {

/// Growth of the idle estimate per second, so that it follows a pool that
/// became slower.
constexpr double kIdleDriftPerSecond = 0.01;
/// Half-life of a smoothed pressure.
constexpr double kHalfLifeSeconds = 0.5;
/// Minimum weight of the newest pressure in the smoothed one.
constexpr double kSampleWeight = 0.3;
/// Batch work yields for this long after a refusal.
constexpr Duration kRefusalExpiry = std::chrono::seconds(1);
/// Lower bound of the slack, as a fraction of the allowed time.
constexpr double kMinSlackFraction = 0.05;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double ToUs(Duration duration) {
  return static_cast<double>(duration.count());
}

double DecayFactor(Duration age) {
  return std::exp2(-Seconds(age) / kHalfLifeSeconds);
}

}  // namespace

double PoolPressure::RecordEstimate(TimePoint now,
                                    std::string_view class_name,
                                    Duration expected,
                                    Duration allowed) {
  auto found = classes_.find(class_name);
  if (found == classes_.end()) {
    found = classes_.emplace(std::string(class_name), ClassPressure()).first;
    found->second.idle_us_ = ToUs(expected);
    found->second.at_ = now;
  }
  ClassPressure& entry = found->second;
  const double drift = 1 + kIdleDriftPerSecond * Seconds(now - entry.at_);
  entry.idle_us_ = std::min(entry.idle_us_ * drift, ToUs(expected));
  const double slack = std::max(ToUs(allowed) - entry.idle_us_,
                                kMinSlackFraction * ToUs(allowed));
  entry.latest_ = (ToUs(expected) - entry.idle_us_) / std::max(slack, 1.0);
  // The older the previous estimate is, the less it weighs.
  const double kept = (1 - kSampleWeight) * DecayFactor(now - entry.at_);
  entry.smoothed_ = kept * entry.smoothed_ + (1 - kept) * entry.latest_;
  entry.at_ = now;
  return entry.latest_;
}

double PoolPressure::Highest(TimePoint now,
                             double ClassPressure::*pressure) const {
  double highest = 0;
  for (const auto& [name, entry] : classes_) {
    highest = std::max(highest, entry.*pressure * DecayFactor(now - entry.at_));
  }
  return highest;
}

double PoolPressure::At(TimePoint now) const {
  return Highest(now, &ClassPressure::smoothed_);
}

double PoolPressure::Latest(TimePoint now) const {
  return Highest(now, &ClassPressure::latest_);
}

bool PoolPressure::RefusedLately(TimePoint now) const {
  return refused_at_ && now - *refused_at_ < kRefusalExpiry;
}

}  // namespace citronlane
