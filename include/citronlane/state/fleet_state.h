#ifndef CITRONLANE_STATE_FLEET_STATE_H_
#define CITRONLANE_STATE_FLEET_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "citronlane/state/config_register.h"
#include "citronlane/state/drained_domains.h"

namespace citronlane {

/// The complete replicated state of the control VMs of a self-forming fleet:
/// the configuration, the drained failure domains, and the log format that all
/// members apply. Deterministic and without I/O. Not thread safe.
class FleetState {
 public:
  /// The component that a command changed.
  enum class Change { kNothing, kConfig, kDrainedDomains, kLogFormat };

  /// Returns the command that records that every member applies the commands of
  /// this log format.
  static std::string LogFormatCommand(uint32_t format);

  /// Applies a committed command of any component. Returns what it changed.
  Change Apply(std::string_view command);

  /// Returns the complete state.
  std::string Snapshot() const;
  /// Replaces the state by one that Snapshot returned.
  void Restore(std::string_view snapshot);

  const ConfigRegister& config() const { return config_; }
  const DrainedDomains& drained() const { return drained_; }
  /// Highest recorded log format; 0 while none is.
  uint32_t log_format() const { return log_format_; }

 private:
  ConfigRegister config_;
  DrainedDomains drained_;
  uint32_t log_format_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_FLEET_STATE_H_
