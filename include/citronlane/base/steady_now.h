#ifndef CITRONLANE_BASE_STEADY_NOW_H_
#define CITRONLANE_BASE_STEADY_NOW_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// Reads the monotonic clock. Not for decision code, which gets the time as an
/// argument so that tests can control it. Thread safe.
inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

}  // namespace citronlane

#endif  // CITRONLANE_BASE_STEADY_NOW_H_
