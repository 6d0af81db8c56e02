#ifndef CITRONLANE_SERVING_CALLER_LIMITS_H_
#define CITRONLANE_SERVING_CALLER_LIMITS_H_

#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// Bounds on what a caller may send and how long it may take or stay idle. The
/// defaults hold until a configuration says otherwise.
struct CallerLimits {
  uint64_t header_bytes_ = 16 << 10;
  uint64_t body_bytes_ = 4 << 20;
  Duration header_time_ = std::chrono::seconds(3);
  Duration idle_time_ = std::chrono::seconds(15);
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_CALLER_LIMITS_H_
