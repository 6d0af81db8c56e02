#include "citronlane/transport/connection_activity.h"

#include <chrono>

namespace citronlane {
namespace {

using Phase = ConnectionActivity::Phase;

/// A lost packet is sent again within this time.
constexpr Duration kMinStall = std::chrono::milliseconds(500);

int RankOf(Phase phase) {
  switch (phase) {
    case Phase::kClosing:
      return 0;
    case Phase::kNew:
    case Phase::kReading:
      return 1;
    case Phase::kIdle:
      return 2;
    case Phase::kServing:
      break;
  }
  return 3;
}

}  // namespace

Duration StallOf(const ConnectionActivity& activity,
                 double bytes_per_second,
                 TimePoint now) {
  const Duration passed = now - activity.since_;
  if (activity.phase_ != Phase::kReading) {
    return passed;
  }
  const std::chrono::duration<double> allowed(
      static_cast<double>(activity.received_) / bytes_per_second);
  return passed - std::chrono::duration_cast<Duration>(allowed);
}

bool MayLosePlace(const ConnectionActivity& activity,
                  PlaceNeeded needed,
                  double bytes_per_second,
                  TimePoint now) {
  if (activity.phase_ == Phase::kServing) {
    return false;
  }
  if (needed == PlaceNeeded::kRequest && activity.phase_ != Phase::kReading) {
    return false;
  }
  return activity.phase_ == Phase::kClosing ||
         StallOf(activity, bytes_per_second, now) >= kMinStall;
}

bool LosesPlaceBefore(const ConnectionActivity& first,
                      const ConnectionActivity& second,
                      double bytes_per_second,
                      TimePoint now) {
  const int first_rank = RankOf(first.phase_);
  const int second_rank = RankOf(second.phase_);
  if (first_rank != second_rank) {
    return first_rank < second_rank;
  }
  return StallOf(first, bytes_per_second, now) >
         StallOf(second, bytes_per_second, now);
}

std::string_view ToString(Phase phase) {
  switch (phase) {
    case Phase::kNew:
      return "new";
    case Phase::kIdle:
      return "idle";
    case Phase::kReading:
      return "reading";
    case Phase::kServing:
      return "serving";
    case Phase::kClosing:
      return "closing";
  }
  return "";
}

}  // namespace citronlane
