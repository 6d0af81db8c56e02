#ifndef CITRONLANE_TRANSPORT_HTTP_LIMITS_H_
#define CITRONLANE_TRANSPORT_HTTP_LIMITS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// Limits on the connections of callers. docs/design/misbehaving-callers.md
/// shows which input each of them bounds.
struct HttpLimits {
  /// Divides a number of connections among those that are served and those that
  /// receive a refusal.
  void SetConnections(size_t connections) {
    constexpr size_t kServedPerRefused = 8;
    refused_connections_ =
        std::max<size_t>(1, connections / (kServedPerRefused + 1));
    connections_ =
        std::max(connections, refused_connections_ + 1) - refused_connections_;
  }

  /// Maximum size of a request's header, all fields together. Also bounds each
  /// chunk line and the trailer of a chunked body.
  uint32_t header_bytes_ = 16 * 1024;
  /// Maximum size of a request's body.
  uint64_t body_bytes_ = 1024ULL * 1024;
  /// Maximum memory of all connections and of the requests that are read or
  /// served, bodies included. One request with a body of body_bytes_ is always
  /// accepted.
  uint64_t memory_bytes_ = 128ULL * 1024 * 1024;
  /// Maximum number of connections that are served, on all threads. A further
  /// one takes the place of a connection whose caller stalls or is idle, or is
  /// refused.
  size_t connections_ = 4096;
  /// Maximum number of connections besides, which receive a refusal. Further
  /// ones are closed without one.
  size_t refused_connections_ = 256;
  /// Maximum of bytes that a connection receives before they are read.
  uint32_t receive_buffer_bytes_ = 64 * 1024;
  /// From the first byte of a request to its last byte.
  Duration read_timeout_ = std::chrono::seconds(10);
  /// How long a connection may be idle between two requests.
  Duration idle_timeout_ = std::chrono::seconds(60);
  /// Timeout of each write to a caller.
  Duration write_timeout_ = std::chrono::seconds(10);
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_LIMITS_H_
