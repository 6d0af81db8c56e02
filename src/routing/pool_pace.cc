#include "citronlane/routing/pool_pace.h"

#include <algorithm>
#include <cmath>

namespace citronlane {
namespace {

/// Share of the old sums that a new sample replaces.
constexpr double kSampleWeight = 1.0 / 512;
constexpr size_t kMinSamples = 16;
/// A sample counts as at most this multiple of the expected time: a server that
/// hangs says nothing about the others.
constexpr double kMaxRatio = 8;
constexpr double kMaxWork = 1e9;
constexpr double kMaxSeconds = 3600;

bool IsWithin(double value, double most) {
  return std::isfinite(value) && value >= 0 && value <= most;
}

}  // namespace

void PoolPace::Add(double work, double seconds) {
  if (!IsWithin(work, kMaxWork) || !IsWithin(seconds, kMaxSeconds) ||
      seconds == 0) {
    return;
  }
  if (const auto expected = Expected(work)) {
    seconds = std::min(seconds, *expected * kMaxRatio);
  }
  const auto add = [](double* sum, double value) {
    *sum += value - kSampleWeight * *sum;
  };
  add(&weight_, 1);
  add(&work_, work);
  add(&seconds_, seconds);
  add(&work_work_, work * work);
  add(&work_seconds_, work * seconds);
  ++count_;
}

std::optional<PoolPace::Line> PoolPace::Fit() const {
  if (count_ < kMinSamples) {
    return std::nullopt;
  }
  const double work = work_ / weight_;
  const double seconds = seconds_ / weight_;
  const double variance = work_work_ / weight_ - work * work;
  const double covariance = work_seconds_ / weight_ - work * seconds;
  // With work that hardly varies, a slope would be noise.
  constexpr double kMinRelativeVariance = 1e-4;
  if (variance <= kMinRelativeVariance * work * work || covariance <= 0) {
    return Line{seconds, 0};
  }
  const double per_unit = covariance / variance;
  const double constant = seconds - per_unit * work;
  return constant > 0 ? Line{constant, per_unit}
                      : Line{0, work_seconds_ / work_work_};
}

std::optional<double> PoolPace::Expected(double work) const {
  const auto line = Fit();
  if (!line) {
    return std::nullopt;
  }
  const double expected = line->constant_ + line->per_unit_ * work;
  return expected > 0 ? std::optional(expected) : std::nullopt;
}

std::optional<double> PoolPace::Mean() const {
  return count_ < kMinSamples ? std::nullopt
                              : std::optional(seconds_ / weight_);
}

std::optional<double> PoolPace::PerUnit() const {
  const auto line = Fit();
  return line ? std::optional(line->per_unit_) : std::nullopt;
}

}  // namespace citronlane
