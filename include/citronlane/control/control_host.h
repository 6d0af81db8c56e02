#ifndef CITRONLANE_CONTROL_CONTROL_HOST_H_
#define CITRONLANE_CONTROL_CONTROL_HOST_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/serving/node_settings.h"

namespace citronlane {

class EventLog;
struct Dialect;

/// A control VM of a self-forming fleet: forms the cluster with the other first
/// seeds or joins one, keeps its copy of the log, and, while it leads, answers
/// operators, keeps the membership whole and feeds the gateways. One thread:
/// the VM has a part of one core, and a stalled disk must stall the leader too.
class ControlHost {
 public:
  /// Reads the settings file anew; nothing when it can't be read now.
  using SettingsHook = std::function<std::optional<NodeSettings>()>;

  /// `dialect` and `log` outlive the host.
  ControlHost(NodeSettings settings,
              SettingsHook read_settings,
              const Dialect* dialect,
              EventLog* log);
  ~ControlHost();
  ControlHost(const ControlHost&) = delete;
  ControlHost& operator=(const ControlHost&) = delete;

  /// Serves until a stop signal came and the lead is handed over. False with
  /// the reason when it could not start.
  bool Run(Error* error);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_HOST_H_
