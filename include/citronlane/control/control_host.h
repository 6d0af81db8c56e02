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
/// seeds or joins one, keeps its copy of the log, and, while it leads, serves
/// operators, maintains the membership and feeds the gateways. Runs on one
/// thread: the VM has a fraction of one core, and a stalled disk must stall the
/// leader too, so that it loses the leadership.
class ControlHost {
 public:
  /// Reads the settings file again; nullopt when it can not be read now.
  using SettingsHook = std::function<std::optional<NodeSettings>()>;

  /// `dialect` and `log` must outlive the host.
  ControlHost(NodeSettings settings,
              SettingsHook read_settings,
              const Dialect* dialect,
              EventLog* log);
  ~ControlHost();
  ControlHost(const ControlHost&) = delete;
  ControlHost& operator=(const ControlHost&) = delete;

  /// Serves until a stop signal arrived and there was time to transfer the
  /// leadership. Returns false and sets `error` when it could not start. Blocks
  /// the calling thread.
  bool Run(Error* error);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_HOST_H_
