#include "citronlane/fleet/server_states.h"

namespace citronlane {

bool ServerStates::Merge(std::string_view server, const ServerState& observed) {
  const auto found = states_.find(server);
  if (found == states_.end()) {
    states_.emplace(std::string(server), observed);
    return true;
  }
  const ServerState combined = Combine(found->second, observed);
  if (combined == found->second) {
    return false;
  }
  found->second = combined;
  return true;
}

ServerState ServerStates::Combine(const ServerState& present,
                                  const ServerState& observed) {
  const bool same = observed.incarnation_ == present.incarnation_;
  if (observed.incarnation_ > present.incarnation_) {
    const bool stays_leaving = present.incarnation_ == 0 && present.leaving_;
    return {observed.incarnation_, observed.leaving_ || stays_leaving};
  }
  const bool applies = same || observed.incarnation_ == 0;
  return {present.incarnation_,
          present.leaving_ || (applies && observed.leaving_)};
}

}  // namespace citronlane
