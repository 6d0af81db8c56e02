#include "citronlane/admission/detail/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace citronlane {
namespace {

constexpr double kFirstLimit = 64;
constexpr double kLowestLimit = 4;
constexpr double kHighestLimit = 100000;
constexpr double kSampleWeight = 0.02;
constexpr size_t kWarmUp = 50;
/// Latency may rise to this multiple of the lowest before the limit falls.
constexpr double kTolerance = 3;
constexpr double kLowestGradient = 0.5;
constexpr double kSmoothing = 0.2;
/// Growth of the lowest latency with each sample, so that it is learned anew.
constexpr double kBaseDrift = 1.0005;
constexpr Duration kChangeInterval = std::chrono::milliseconds(100);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit() : limit_(kFirstLimit) {}

void ConcurrencyLimit::OnCall(TimePoint now,
                              Duration latency,
                              size_t in_flight) {
  ++samples_;
  const double weight =
      std::max(kSampleWeight, 1.0 / static_cast<double>(samples_));
  latency_ += weight * (static_cast<double>(latency.count()) - latency_);
  if (samples_ < kWarmUp) {
    return;
  }
  base_ = base_ <= 0 ? latency_ : std::min(base_ * kBaseDrift, latency_);
  const bool used = static_cast<double>(in_flight) >= limit_ / 2;
  if (now < next_change_ || !used) {
    return;
  }
  next_change_ = now + kChangeInterval;
  const double gradient =
      std::clamp(kTolerance * base_ / latency_, kLowestGradient, 1.0);
  const double wanted = limit_ * gradient + std::sqrt(limit_);
  limit_ += kSmoothing * (wanted - limit_);
  limit_ = std::clamp(limit_, kLowestLimit, kHighestLimit);
}

}  // namespace citronlane
