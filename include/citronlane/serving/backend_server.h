#ifndef CITRONLANE_SERVING_BACKEND_SERVER_H_
#define CITRONLANE_SERVING_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// One backend server as the platform lists it. Each start of a server is a new
/// one with a new id, also at the address of one that is gone.
struct BackendServer {
  std::string id_;
  std::string service_;
  /// "IP:port".
  std::string address_;
  std::string failure_domain_;
  uint32_t slots_ = 1;
  /// Takes no new work.
  bool leaving_ = false;

  bool operator==(const BackendServer& other) const {
    return id_ == other.id_ && service_ == other.service_ &&
           address_ == other.address_ &&
           failure_domain_ == other.failure_domain_ && slots_ == other.slots_ &&
           leaving_ == other.leaving_;
  }
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_BACKEND_SERVER_H_
