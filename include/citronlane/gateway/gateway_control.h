#ifndef CITRONLANE_GATEWAY_GATEWAY_CONTROL_H_
#define CITRONLANE_GATEWAY_GATEWAY_CONTROL_H_

#include <memory>

#include "citronlane/gateway/gateway_hooks.h"
#include "citronlane/gateway/gateway_options.h"

namespace citronlane {

class ControlClient;
class Gateway;

/// Ties a gateway to the control VMs: configuration, lease, claims, refusals,
/// shares of spend. Not thread safe; used by the main thread.
class GatewayControl {
 public:
  /// Precondition: the options name control addresses and an incarnation.
  explicit GatewayControl(const GatewayOptions& options,
                          const GatewayHooks& hooks);
  ~GatewayControl();
  GatewayControl(const GatewayControl&) = delete;
  GatewayControl& operator=(const GatewayControl&) = delete;

  /// Fills the hooks that control serves. They must not be called after this
  /// is gone.
  void Bind(GatewayHooks* hooks);

  /// Connects. `gateway` must outlive Stop. Call once.
  void Start(Gateway* gateway);
  void Stop();

 private:
  std::unique_ptr<ControlClient> client_;
  Gateway* gateway_ = nullptr;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_CONTROL_H_
