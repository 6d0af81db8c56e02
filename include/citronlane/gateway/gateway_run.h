#ifndef CITRONLANE_GATEWAY_GATEWAY_RUN_H_
#define CITRONLANE_GATEWAY_GATEWAY_RUN_H_

#include "citronlane/base/error.h"
#include "citronlane/gateway/gateway_hooks.h"
#include "citronlane/gateway/gateway_options.h"

namespace citronlane {

/// Runs a gateway process: reads the bootstrap configuration or connects to
/// control, serves until SIGTERM or SIGINT, then shuts down gracefully. The
/// control hooks left empty in `hooks` are bound to the control client.
/// Returns false and a reason when it can't start or work was cut off. Call
/// once, from the main thread, before other threads are started: it blocks
/// both signals.
bool RunGateway(const GatewayOptions& options,
                GatewayHooks hooks,
                Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_RUN_H_
