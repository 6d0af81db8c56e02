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

/// A gateway of a self-forming fleet: takes callers' requests, follows the
/// control VM that leads, and runs its share of the stage pools. One thread:
/// the VM has a part of one core.
class GatewayHost {
 public:
  /// Reads the settings file anew; nothing when it can't be read now.
  using SettingsHook = std::function<std::optional<NodeSettings>()>;

  /// `dialect` and `log` outlive the host.
  GatewayHost(NodeSettings settings,
              SettingsHook read_settings,
              const Dialect* dialect,
              EventLog* log);
  ~GatewayHost();
  GatewayHost(const GatewayHost&) = delete;
  GatewayHost& operator=(const GatewayHost&) = delete;

  /// Serves until a stop signal came and everything in hand is answered, or the
  /// grace is nearly over. False with the reason when it could not start.
  bool Run(Error* error);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_GATEWAY_HOST_H_
