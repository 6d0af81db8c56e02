#ifndef CITRONLANE_FLEET_DRAINED_SERVERS_H_
#define CITRONLANE_FLEET_DRAINED_SERVERS_H_

#include <vector>

#include "citronlane/serving/backend_server.h"
#include "citronlane/state/drained_domains.h"

namespace citronlane {

/// Returns the servers in their order, with those of the drained failure
/// domains marked as leaving. Thread safe.
std::vector<BackendServer> WithDrained(std::vector<BackendServer> servers,
                                       const DrainedDomains::Names& domains);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_DRAINED_SERVERS_H_
