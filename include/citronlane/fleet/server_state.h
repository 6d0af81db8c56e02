#ifndef CITRONLANE_FLEET_SERVER_STATE_H_
#define CITRONLANE_FLEET_SERVER_STATE_H_

#include <cstdint>

namespace citronlane {

/// Incarnation of a backend server and whether it is leaving.
struct ServerState {
  /// Rises with each restart of the server; 0 while unknown.
  uint64_t incarnation_ = 0;
  bool leaving_ = false;

  bool operator==(const ServerState& other) const {
    return incarnation_ == other.incarnation_ && leaving_ == other.leaving_;
  }
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_SERVER_STATE_H_
