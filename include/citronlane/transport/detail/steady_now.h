#ifndef CITRONLANE_TRANSPORT_DETAIL_STEADY_NOW_H_
#define CITRONLANE_TRANSPORT_DETAIL_STEADY_NOW_H_

#include <chrono>

#include "citronlane/base/time.h"

namespace citronlane::detail {

/// Returns the process's monotonic time. Thread safe.
inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_STEADY_NOW_H_
