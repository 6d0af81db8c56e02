#ifndef CITRONLANE_SERVING_BACKEND_SERVER_H_
#define CITRONLANE_SERVING_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// One start of a backend server, as the platform lists it. What was learned or
/// held of a start ends with it: the server that starts again, under its own
/// name or at the address of one that is gone, is another one.
struct BackendServer {
  /// Tells each start from all others: the name, and when it was.
  std::string id_;
  /// What the platform and the server itself call it, at each start the same.
  std::string name_;
  /// By the server's clock, in milliseconds since 1970; 0 when it is not said.
  /// Compared with other starts of the same server only.
  int64_t started_ms_ = 0;
  std::string service_;
  /// "IP:port".
  std::string address_;
  std::string failure_domain_;
  uint32_t slots_ = 1;
  /// Takes no new work.
  bool leaving_ = false;

  bool operator==(const BackendServer& other) const {
    return id_ == other.id_ && name_ == other.name_ &&
           started_ms_ == other.started_ms_ && service_ == other.service_ &&
           address_ == other.address_ &&
           failure_domain_ == other.failure_domain_ && slots_ == other.slots_ &&
           leaving_ == other.leaving_;
  }
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_BACKEND_SERVER_H_
