#include "citronlane/admission/detail/pool_pressure.h"

#include <algorithm>
#include <cmath>

namespace citronlane {
namespace {

/// Growth of the idle estimate per second, so that it is learned anew.
constexpr double kIdleDriftPerSecond = 0.01;
/// Half-life of a class's word on the pool.
constexpr double kHalfLifeSeconds = 0.5;
constexpr double kSampleWeight = 0.3;
constexpr Duration kRefusalMemory = std::chrono::seconds(1);
/// Smallest slack, as a part of the allowed time.
constexpr double kLeastSlack = 0.05;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double Us(Duration duration) {
  return static_cast<double>(duration.count());
}

double Fade(Duration age) {
  return std::exp2(-Seconds(age) / kHalfLifeSeconds);
}

}  // namespace

double PoolPressure::Note(TimePoint now,
                          std::string_view class_name,
                          Duration expected,
                          Duration allowed) {
  auto found = classes_.find(class_name);
  if (found == classes_.end()) {
    found = classes_.emplace(std::string(class_name), ClassPressure()).first;
    found->second.idle_us_ = Us(expected);
    found->second.at_ = now;
  }
  ClassPressure& entry = found->second;
  const double drift = 1 + kIdleDriftPerSecond * Seconds(now - entry.at_);
  entry.idle_us_ = std::min(entry.idle_us_ * drift, Us(expected));
  const double slack =
      std::max(Us(allowed) - entry.idle_us_, kLeastSlack * Us(allowed));
  entry.latest_ = (Us(expected) - entry.idle_us_) / std::max(slack, 1.0);
  // The longer ago the last estimate was, the less it tells.
  const double kept = (1 - kSampleWeight) * Fade(now - entry.at_);
  entry.smoothed_ = kept * entry.smoothed_ + (1 - kept) * entry.latest_;
  entry.at_ = now;
  return entry.latest_;
}

double PoolPressure::Highest(TimePoint now,
                             double ClassPressure::*pressure) const {
  double highest = 0;
  for (const auto& [name, entry] : classes_) {
    highest = std::max(highest, entry.*pressure * Fade(now - entry.at_));
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
  return refused_at_ && now - *refused_at_ < kRefusalMemory;
}

}  // namespace citronlane
