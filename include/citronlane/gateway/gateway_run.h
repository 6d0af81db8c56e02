#ifndef CITRONLANE_GATEWAY_GATEWAY_RUN_H_
#define CITRONLANE_GATEWAY_GATEWAY_RUN_H_

#include "citronlane/base/error.h"
#include "citronlane/gateway/gateway_hooks.h"
#include "citronlane/gateway/gateway_options.h"

namespace citronlane {

/// Runs a gateway process: reads the bootstrap configuration or connects to the
/// control VMs, serves until SIGTERM or SIGINT, then shuts down gracefully.
/// Replaces the events and metrics hooks of `hooks`, the control hooks too if
/// there are control VMs, and logs to the process's log if log_ is empty.
/// Returns false and sets `error` if the gateway can't start or requests were
/// aborted at the drain limit. Call once, from the main thread, before other
/// threads are started, because it blocks both signals.
bool RunGateway(const GatewayOptions& options,
                GatewayHooks hooks,
                Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_RUN_H_
