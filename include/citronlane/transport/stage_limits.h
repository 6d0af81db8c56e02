#ifndef CITRONLANE_TRANSPORT_STAGE_LIMITS_H_
#define CITRONLANE_TRANSPORT_STAGE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "citronlane/base/time.h"

namespace citronlane {

/// Limits of the calls to backend servers.
struct StageLimits {
  /// Maximum size of a reply's header.
  uint32_t reply_header_bytes_ = 16 * 1024;
  /// Maximum size of a body that is kept whole; a larger one fails the call.
  uint64_t reply_body_bytes_ = 4ULL * 1024 * 1024;
  /// Maximum size of all bodies that are kept whole at the same time, small
  /// ones excepted; see ReplyMemory.
  uint64_t total_reply_bytes_ = 64ULL * 1024 * 1024;
  /// Maximum size of a body that is passed on in fragments; reply_body_bytes_
  /// if unset.
  std::optional<uint64_t> stream_bytes_;
  Duration connect_timeout_ = std::chrono::milliseconds(500);
  /// Maximum time without a byte once the body of a stream has begun. A reply
  /// that is read whole is bounded by its call's deadline alone.
  Duration read_timeout_ = std::chrono::seconds(1);
  /// Maximum number of idle connections per server and client.
  size_t idle_connections_ = 64;
  /// An idle connection is not reused after this time.
  Duration idle_timeout_ = std::chrono::seconds(30);
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_LIMITS_H_
