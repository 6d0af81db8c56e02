#ifndef CITRONLANE_STATE_STATE_EFFECTS_H_
#define CITRONLANE_STATE_STATE_EFFECTS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace citronlane {

/// Changes made by one command that gateways or other components are notified
/// of.
struct StateEffects {
  bool config_changed_ = false;
  /// Backend servers whose state changed.
  std::vector<std::string> changed_servers_;
  /// Gateways, by name and incarnation, that entered or left the registry.
  std::vector<std::pair<std::string, uint64_t>> registered_gateways_;
  std::vector<std::pair<std::string, uint64_t>> removed_gateways_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_STATE_EFFECTS_H_
