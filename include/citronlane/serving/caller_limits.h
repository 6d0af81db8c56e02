#ifndef CITRONLANE_SERVING_CALLER_LIMITS_H_
#define CITRONLANE_SERVING_CALLER_LIMITS_H_

#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// Limits on a caller's requests and connections. The defaults apply until a
/// configuration sets others.
struct CallerLimits {
  uint64_t header_bytes_ = 16 << 10;
  uint64_t body_bytes_ = 4 << 20;
  Duration header_time_ = std::chrono::seconds(3);
  Duration idle_time_ = std::chrono::seconds(15);
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_CALLER_LIMITS_H_
