#ifndef CITRONLANE_GATEWAY_GATEWAY_CONTROL_H_
#define CITRONLANE_GATEWAY_GATEWAY_CONTROL_H_

#include <memory>

#include "citronlane/gateway/gateway_hooks.h"
#include "citronlane/gateway/gateway_options.h"

namespace citronlane {

class ControlClient;
class Gateway;

/// Connects a Gateway to the control VMs through a ControlClient:
/// configuration, lease, claims, refusals and spend shares. Not thread safe;
/// used by the main thread.
class GatewayControl {
 public:
  /// Precondition: the options name control addresses and an incarnation.
  explicit GatewayControl(const GatewayOptions& options,
                          const GatewayHooks& hooks);
  ~GatewayControl();
  GatewayControl(const GatewayControl&) = delete;
  GatewayControl& operator=(const GatewayControl&) = delete;

  /// Sets the hooks that need the control VMs: claims and reports. They must
  /// not be called after this object is destroyed.
  void Bind(GatewayHooks* hooks);

  /// Starts the client. `gateway` must live until Stop has returned. Call once.
  void Start(Gateway* gateway);
  /// Ends the client: pending claims complete as unavailable, and the gateway
  /// is not called afterwards.
  void Stop();

 private:
  std::unique_ptr<ControlClient> client_;
  Gateway* gateway_ = nullptr;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_CONTROL_H_
