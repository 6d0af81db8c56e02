#ifndef CITRONLANE_TRANSPORT_STAGE_LIMITS_H_
#define CITRONLANE_TRANSPORT_STAGE_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// What one call to a backend server may cost at most.
struct StageLimits {
  uint32_t reply_header_bytes_ = 16 * 1024;
  /// Bytes of a reply's body; a longer one is an error of the attempt.
  uint64_t reply_body_bytes_ = 4ULL * 1024 * 1024;
  Duration connect_timeout_ = std::chrono::milliseconds(500);
  /// Longest silence within a reply whose body has begun.
  Duration read_timeout_ = std::chrono::seconds(1);
  /// Kept-alive connections per server and thread.
  size_t idle_connections_ = 64;
  /// A kept-alive connection unused for longer is not used again.
  Duration idle_timeout_ = std::chrono::seconds(30);
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_LIMITS_H_
