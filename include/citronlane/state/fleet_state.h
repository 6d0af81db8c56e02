#ifndef CITRONLANE_STATE_FLEET_STATE_H_
#define CITRONLANE_STATE_FLEET_STATE_H_

#include <string>
#include <string_view>

#include "citronlane/state/config_register.h"
#include "citronlane/state/drained_domains.h"

namespace citronlane {

/// All that the control VMs of the users' platform replicate. Pure and
/// deterministic. Not thread safe.
class FleetState {
 public:
  /// What a command changed.
  enum class Change { kNothing, kConfig, kDrainedDomains };

  /// Applies a committed command of either part.
  Change Apply(std::string_view command);

  /// The whole state, and back.
  std::string Snapshot() const;
  void Restore(std::string_view snapshot);

  const ConfigRegister& config() const { return config_; }
  const DrainedDomains& drained() const { return drained_; }

 private:
  ConfigRegister config_;
  DrainedDomains drained_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_FLEET_STATE_H_
