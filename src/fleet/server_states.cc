#include "citronlane/fleet/server_states.h"

namespace citronlane {

bool ServerStates::Merge(std::string_view server, const ServerState& seen) {
  const auto found = states_.find(server);
  if (found == states_.end()) {
    states_.emplace(std::string(server), seen);
    return true;
  }
  const ServerState combined = Combine(found->second, seen);
  if (combined == found->second) {
    return false;
  }
  found->second = combined;
  return true;
}

ServerState ServerStates::Combine(const ServerState& present,
                                  const ServerState& seen) {
  const bool same = seen.incarnation_ == present.incarnation_;
  if (seen.incarnation_ > present.incarnation_) {
    const bool sticks = present.incarnation_ == 0 && present.leaving_;
    return {seen.incarnation_, seen.leaving_ || sticks};
  }
  const bool counts = same || seen.incarnation_ == 0;
  return {present.incarnation_, present.leaving_ || (counts && seen.leaving_)};
}

}  // namespace citronlane
