#ifndef CITRONLANE_FLEET_SERVER_STATES_H_
#define CITRONLANE_FLEET_SERVER_STATES_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "citronlane/fleet/server_state.h"

namespace citronlane {

/// States of the backend servers, merged from lists and sightings of any age:
/// leaving wins within an incarnation, a higher incarnation wins over a lower
/// one, so an old list never brings a server back. Pure. Not thread safe.
class ServerStates {
 public:
  /// Takes one sighting. Returns whether anything changed.
  bool Merge(std::string_view server, const ServerState& seen);

  /// Returns what Merge would make of the two; for known incarnations the
  /// order does not matter. Leaving in an unknown incarnation means the
  /// present one.
  static ServerState Combine(const ServerState& present,
                             const ServerState& seen);

  const std::map<std::string, ServerState, std::less<>>& states() const {
    return states_;
  }

  void Clear() { states_.clear(); }

 private:
  std::map<std::string, ServerState, std::less<>> states_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_SERVER_STATES_H_
