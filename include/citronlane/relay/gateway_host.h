#ifndef CITRONLANE_RELAY_GATEWAY_HOST_H_
#define CITRONLANE_RELAY_GATEWAY_HOST_H_

#include <functional>
#include <memory>
#include <optional>

#include "citronlane/base/error.h"
#include "citronlane/serving/node_settings.h"

namespace citronlane {

class EventLog;
struct Dialect;

/// A gateway of a self-forming fleet: serves callers' requests, follows the
/// leader of the control VMs and runs the pool partitions that it owns. It
/// decides nothing for the fleet; control does. Single-threaded, since its VM
/// has a fraction of one core.
class GatewayHost {
 public:
  /// Reads the settings file again; nothing when it cannot be read now.
  using SettingsHook = std::function<std::optional<NodeSettings>()>;

  /// `dialect` and `log` must outlive the host.
  GatewayHost(NodeSettings settings,
              SettingsHook read_settings,
              const Dialect* dialect,
              EventLog* log);
  ~GatewayHost();
  GatewayHost(const GatewayHost&) = delete;
  GatewayHost& operator=(const GatewayHost&) = delete;

  /// Serves until a stop signal came and all requests in flight are answered,
  /// or until the grace period is nearly over. Returns false with the reason in
  /// `error` when it could not start. Call once.
  bool Run(Error* error);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_GATEWAY_HOST_H_
