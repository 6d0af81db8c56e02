#ifndef CITRONLANE_TRANSPORT_HTTP_LIMITS_H_
#define CITRONLANE_TRANSPORT_HTTP_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// Limits on the connections of callers.
struct HttpLimits {
  /// Maximum size of a request's header, all fields together.
  uint32_t header_bytes_ = 16 * 1024;
  /// Maximum size of a request's body.
  uint64_t body_bytes_ = 1024ULL * 1024;
  /// Maximum size of all bodies in memory. One body of body_bytes_ is always
  /// accepted.
  uint64_t total_body_bytes_ = 64ULL * 1024 * 1024;
  /// Maximum number of open connections of all threads. Further ones get a
  /// refusal; above twice this number they are closed without one.
  size_t connections_ = 4096;
  /// From the first byte of a request to its last byte.
  Duration read_timeout_ = std::chrono::seconds(10);
  /// How long a connection may be idle between two requests.
  Duration idle_timeout_ = std::chrono::seconds(60);
  /// Timeout of each write to a caller.
  Duration write_timeout_ = std::chrono::seconds(10);
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_LIMITS_H_
