#ifndef CITRONLANE_STATE_STATE_EFFECTS_H_
#define CITRONLANE_STATE_STATE_EFFECTS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace citronlane {

/// What one command changed that others are told of.
struct StateEffects {
  bool config_changed_ = false;
  /// Backend servers whose state changed.
  std::vector<std::string> servers_;
  /// Gateways, by name and incarnation, that entered or left the registry.
  std::vector<std::pair<std::string, uint64_t>> registered_;
  std::vector<std::pair<std::string, uint64_t>> forgotten_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_STATE_EFFECTS_H_
