#ifndef CITRONLANE_SERVING_BACKEND_SERVER_H_
#define CITRONLANE_SERVING_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// One incarnation of a backend server, as the platform lists it. State that is
/// kept about a server belongs to its incarnation: a server that restarts,
/// under its own name or at another server's former address, is another one.
struct BackendServer {
  /// Unique for each incarnation: the name and the start time.
  std::string id_;
  /// Name used by the platform and the server itself; the same in all
  /// incarnations.
  std::string name_;
  /// Start time by the server's clock, in milliseconds since 1970; 0 when
  /// unknown. Comparable only with other incarnations of the same server.
  int64_t started_ms_ = 0;
  std::string service_;
  /// Version of its software; empty when the platform names none. A stream may
  /// be continued only by servers of the version that began it.
  std::string version_;
  /// Endpoint as "IP:port".
  std::string address_;
  std::string failure_domain_;
  uint32_t slots_ = 1;
  /// Whether it takes no new work.
  bool leaving_ = false;
  /// Whether the platform says that it tolerates few requests for now, because
  /// it started or lost its caches a short time ago.
  bool is_cold_ = false;

  bool operator==(const BackendServer& other) const {
    return id_ == other.id_ && name_ == other.name_ &&
           started_ms_ == other.started_ms_ && service_ == other.service_ &&
           version_ == other.version_ && address_ == other.address_ &&
           failure_domain_ == other.failure_domain_ && slots_ == other.slots_ &&
           leaving_ == other.leaving_ && is_cold_ == other.is_cold_;
  }
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_BACKEND_SERVER_H_
