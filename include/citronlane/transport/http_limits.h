#ifndef CITRONLANE_TRANSPORT_HTTP_LIMITS_H_
#define CITRONLANE_TRANSPORT_HTTP_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// What one caller's connection may cost the gateway at most.
struct HttpLimits {
  /// Bytes of a request's header, all lines together.
  uint32_t header_bytes_ = 16 * 1024;
  /// Bytes of a request's body.
  uint64_t body_bytes_ = 1024ULL * 1024;
  /// Bytes of bodies held at once over all connections.
  uint64_t total_body_bytes_ = 64ULL * 1024 * 1024;
  /// Open connections over all threads; more are closed at once.
  size_t connections_ = 4096;
  /// From the first byte of a request to its last.
  Duration read_timeout_ = std::chrono::seconds(10);
  /// Without any byte between two requests of a connection.
  Duration idle_timeout_ = std::chrono::seconds(60);
  /// For each write to a caller that takes no more bytes.
  Duration write_timeout_ = std::chrono::seconds(10);
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_LIMITS_H_
