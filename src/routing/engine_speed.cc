#include "citronlane/routing/engine_speed.h"

#include <algorithm>
#include <cmath>

namespace citronlane {
namespace {

/// Samples within this time count once. A spell of half a second takes at most
/// three of the spans that are kept, too few to move their median or quartiles.
constexpr Duration kSpanTime = std::chrono::milliseconds(250);
constexpr size_t kMinSpans = 4;
/// Servers whose times differ by less from their pool's count as alike.
constexpr double kMinDifference = 1.2;
/// Bounds the effect of a sample, and of what is learned.
constexpr double kMaxRatio = 8;
/// A server that gets no requests because it was slow is tried again after
/// this time.
constexpr Duration kMaxAge = std::chrono::seconds(60);

constexpr double kMaxTime = 1e9;

bool IsTime(double time) {
  return std::isfinite(time) && time > 0 && time <= kMaxTime;
}

}  // namespace

void EngineSpeed::Add(TimePoint now, double seen, double expected) {
  if (!IsTime(seen) || !IsTime(expected)) {
    return;
  }
  if (used_ > 0 && now - last_sample_ > kMaxAge) {
    *this = EngineSpeed();
  }
  if (used_ == 0 || now - last_began_ >= kSpanTime) {
    last_ = used_ == 0 ? 0 : (last_ + 1) % kSpans;
    used_ = std::min(used_ + 1, kSpans);
    spans_[last_] = Span();
    last_began_ = now;
  }
  last_sample_ = used_ == 1 ? now : std::max(last_sample_, now);
  Span& span = spans_[last_];
  // Sums, so that a long time counts for more than a short one.
  span.seen_ += std::clamp(seen, expected / kMaxRatio, expected * kMaxRatio);
  span.expected_ += expected;
  Conclude();
}

bool EngineSpeed::IsKnown(TimePoint now) const {
  return used_ >= kMinSpans && now - last_sample_ <= kMaxAge;
}

void EngineSpeed::Conclude() {
  std::array<double, kSpans> logs{};
  for (size_t i = 0; i < used_; ++i) {
    logs[i] = std::log(spans_[i].seen_ / spans_[i].expected_);
  }
  std::sort(logs.begin(), logs.begin() + used_);
  const double low = logs[used_ / 4];
  const double median = (logs[(used_ - 1) / 2] + logs[used_ / 2]) / 2;
  const double high = logs[used_ - 1 - used_ / 4];
  const bool is_consistent = low > 0 || high < 0;
  const bool differs = std::abs(median) >= std::log(kMinDifference);
  factor_ = is_consistent && differs ? std::exp(median) : 1;
}

}  // namespace citronlane
