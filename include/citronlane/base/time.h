#ifndef CITRONLANE_BASE_TIME_H_
#define CITRONLANE_BASE_TIME_H_

#include <chrono>

namespace citronlane {

/// Length of time in microseconds, the resolution of all decision code.
using Duration = std::chrono::microseconds;

/// Point on the process's monotonic clock. Decision code receives it as an
/// argument and never reads a clock itself.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

}  // namespace citronlane

#endif  // CITRONLANE_BASE_TIME_H_
