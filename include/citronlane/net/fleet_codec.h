#ifndef CITRONLANE_NET_FLEET_CODEC_H_
#define CITRONLANE_NET_FLEET_CODEC_H_

#include <vector>

#include "absl/types/span.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

namespace wire::fleet {
class ServerList;
}  // namespace wire::fleet

/// Fills `out` with the servers. Thread safe, as is the other.
void EncodeServers(absl::Span<const BackendServer> servers,
                   wire::fleet::ServerList* out);
std::vector<BackendServer> DecodeServers(const wire::fleet::ServerList& in);

}  // namespace citronlane

#endif  // CITRONLANE_NET_FLEET_CODEC_H_
