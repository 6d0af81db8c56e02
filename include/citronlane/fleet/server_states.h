#ifndef CITRONLANE_FLEET_SERVER_STATES_H_
#define CITRONLANE_FLEET_SERVER_STATES_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "citronlane/fleet/server_state.h"

namespace citronlane {

/// States of the backend servers, merged from lists and observations of any
/// age. Within an incarnation `leaving_` is never reset, and a higher
/// incarnation replaces a lower one, so an old list never reactivates a server.
/// Pure: no I/O. Not thread safe.
class ServerStates {
 public:
  /// Merges one observation. Returns whether anything changed.
  bool Merge(std::string_view server, const ServerState& observed);

  /// Returns the merged state. For known incarnations the result does not
  /// depend on the order of merging. An observation with an unknown incarnation
  /// that reports leaving applies to the present incarnation.
  static ServerState Combine(const ServerState& present,
                             const ServerState& observed);

  /// State by server.
  const std::map<std::string, ServerState, std::less<>>& states() const {
    return states_;
  }

  void Clear() { states_.clear(); }

 private:
  std::map<std::string, ServerState, std::less<>> states_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_SERVER_STATES_H_
