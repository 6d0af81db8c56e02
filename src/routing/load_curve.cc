#include "citronlane/routing/detail/load_curve.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace citronlane {
namespace {

/// Weight of the newest sample in the moving averages of a bucket.
constexpr double kSampleWeight = 0.05;

/// Lower ends of the buckets, in calls.
constexpr std::array<double, 19> kBucketLowerBounds = {
    0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 384, 512};

size_t BucketOf(double load) {
  const auto* above = std::upper_bound(kBucketLowerBounds.begin(),
                                       kBucketLowerBounds.end(), load);
  return static_cast<size_t>(
      std::max<std::ptrdiff_t>(above - kBucketLowerBounds.begin() - 1, 0));
}

}  // namespace

LoadCurve::LoadCurve()
    : times_(kBucketLowerBounds.size(), DecayedMean(kSampleWeight)),
      loads_(kBucketLowerBounds.size(), DecayedMean(kSampleWeight)) {}

void LoadCurve::Add(double load, double time) {
  const size_t bucket = BucketOf(load);
  times_[bucket].Add(time);
  loads_[bucket].Add(load);
  ++count_;
}

double LoadCurve::At(double load, double per_call) const {
  const DecayedMean* low = nullptr;
  double low_load = 0;
  for (size_t i = 0; i < kBucketLowerBounds.size(); ++i) {
    if (times_[i].count() == 0) {
      continue;
    }
    const double here = loads_[i].value();
    if (here > load) {
      if (low == nullptr) {
        return times_[i].value();
      }
      const double part = (load - low_load) / (here - low_load);
      const double rise = times_[i].value() - low->value();
      return low->value() + part * std::max(0.0, rise);
    }
    low = &times_[i];
    low_load = here;
  }
  if (low == nullptr) {
    return 0;
  }
  return low->value() + per_call * (load - low_load);
}

double LoadCurve::At(double load) const {
  const double highest = HighestLoad();
  if (load <= highest) {
    return At(load, 0);
  }
  return At(highest, 0) * (load + 1) / (highest + 1);
}

double LoadCurve::HighestLoad() const {
  double highest = 0;
  for (const DecayedMean& load : loads_) {
    highest = std::max(highest, load.value());
  }
  return highest;
}

void LoadCurve::Scale(double factor) {
  for (DecayedMean& time : times_) {
    time.Scale(factor);
  }
}

}  // namespace citronlane
