#ifndef CITRONLANE_RELAY_SERVER_PROBE_H_
#define CITRONLANE_RELAY_SERVER_PROBE_H_

#include <functional>
#include <string>

#include "citronlane/routing/server_reach.h"

namespace citronlane {

class StageClient;

/// Tests whether the server at `address`, "IP:port", replies to a GET of
/// `target` within some hundred milliseconds, on a new connection. Any reply
/// will do, also a refusal. Calls `done` once, on the client's event loop,
/// possibly before it returns. `client` must outlive the probe.
void ProbeServer(StageClient* client,
                 const std::string& address,
                 const std::string& target,
                 std::function<void(ServerReach::ProbeResult)> done);

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_SERVER_PROBE_H_
