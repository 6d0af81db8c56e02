#include "citronlane/fleet/drained_servers.h"

namespace citronlane {

std::vector<BackendServer> WithDrained(std::vector<BackendServer> servers,
                                       const DrainedDomains::Names& domains) {
  for (BackendServer& server : servers) {
    server.leaving_ =
        server.leaving_ || domains.count(server.failure_domain_) != 0;
  }
  return servers;
}

}  // namespace citronlane
