#ifndef CITRONLANE_STATE_FLEET_STATE_H_
#define CITRONLANE_STATE_FLEET_STATE_H_

#include <string>
#include <string_view>

#include "citronlane/state/config_register.h"
#include "citronlane/state/drained_domains.h"

namespace citronlane {

/// The complete replicated state of the control VMs of a self-forming fleet:
/// the configuration and the drained failure domains. Deterministic and without
/// I/O. Not thread safe.
class FleetState {
 public:
  /// The component that a command changed.
  enum class Change { kNothing, kConfig, kDrainedDomains };

  /// Applies a committed command of either component. Returns what it changed.
  Change Apply(std::string_view command);

  /// Returns the complete state.
  std::string Snapshot() const;
  /// Replaces the state by one that Snapshot returned.
  void Restore(std::string_view snapshot);

  const ConfigRegister& config() const { return config_; }
  const DrainedDomains& drained() const { return drained_; }

 private:
  ConfigRegister config_;
  DrainedDomains drained_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_FLEET_STATE_H_
