#ifndef CITRONLANE_APP_DETAIL_STEADY_NOW_H_
#define CITRONLANE_APP_DETAIL_STEADY_NOW_H_

#include <chrono>

#include "citronlane/base/time.h"

namespace citronlane {

/// Reads the monotonic clock. Thread safe.
inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

}  // namespace citronlane

#endif  // CITRONLANE_APP_DETAIL_STEADY_NOW_H_
