#include "citronlane/fleet/load_meter.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace citronlane {
namespace {

/// Short enough to notice a burst while its requests can still be saved, long
/// enough that a single large request is not one.
constexpr Duration kWindow = std::chrono::seconds(2);
/// A tick counts for no longer than this many, so that a single pause of the
/// VM's does not look like a loop that is always late.
constexpr int kMaxWeightTicks = 4;
/// A loop that uses this much of a core can't be on time, within the lag that
/// timers have.
constexpr double kWholeCore = 0.95;
constexpr Duration kTimerLag = std::chrono::milliseconds(5);

double InSeconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

LoadMeter::LoadMeter(GatewayCapacity capacity, Duration tick)
    : capacity_(capacity), tick_(tick) {}

void LoadMeter::Sample(TimePoint now, Duration processor_time, uint64_t bytes) {
  const Duration passed = ticks_.empty() ? tick_ : now - ticks_.back().at_;
  ticks_.push_back({now, processor_time, bytes,
                    std::max(passed - tick_, Duration()),
                    std::min(passed, tick_ * kMaxWeightTicks)});
  while (ticks_.size() > 2 && now - ticks_[1].at_ >= kWindow) {
    ticks_.pop_front();
  }
  const Tick& first = ticks_.front();
  const double seconds = InSeconds(now - first.at_);
  if (seconds <= 0) {
    return;
  }
  load_ = GatewayLoad();
  load_.loop_lag_ = MedianLag();
  const double cores =
      InSeconds(processor_time - first.processor_time_) / seconds;
  counts_waits_ =
      counts_waits_ || (now - first.at_ >= kWindow / 2 && cores >= kWholeCore &&
                        load_.loop_lag_ <= kTimerLag);
  if (capacity_.processor_cores_ > 0 && cores > 0 && !counts_waits_) {
    load_.processor_use_ = cores / capacity_.processor_cores_;
  }
  if (capacity_.link_bytes_per_second_ > 0 && bytes > first.bytes_) {
    load_.link_use_ = static_cast<double>(bytes - first.bytes_) /
                      (seconds * capacity_.link_bytes_per_second_);
  }
}

// The lag that the loop had for at least half of the time.
Duration LoadMeter::MedianLag() const {
  std::vector<std::pair<Duration, Duration>> lags;
  Duration all{};
  for (const Tick& tick : ticks_) {
    lags.emplace_back(tick.lag_, tick.weight_);
    all += tick.weight_;
  }
  std::sort(lags.begin(), lags.end());
  Duration below{};
  for (const auto& [lag, weight] : lags) {
    below += weight;
    if (below * 2 >= all) {
      return lag;
    }
  }
  return Duration();
}

}  // namespace citronlane
