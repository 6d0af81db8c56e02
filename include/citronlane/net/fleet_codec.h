#ifndef CITRONLANE_NET_FLEET_CODEC_H_
#define CITRONLANE_NET_FLEET_CODEC_H_

#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

namespace wire::fleet {
class PoolOwners;
class ServerList;
}  // namespace wire::fleet

/// Returns `time` in milliseconds, rounded down; 0 when it is negative. All
/// functions of this header are thread safe.
uint64_t InMilliseconds(Duration time);
/// Returns a time that a peer sent, at most a day: a wrong one must not
/// overflow the time points that are calculated from it.
Duration FromMilliseconds(uint64_t milliseconds);

/// Appends the servers to `out`.
void EncodeServers(absl::Span<const BackendServer> servers,
                   wire::fleet::ServerList* out);
std::vector<BackendServer> DecodeServers(const wire::fleet::ServerList& in);

/// Sets `number`, the number of the assignment, and appends the owners to
/// `out`.
void EncodeOwners(uint64_t number,
                  const PoolAssignment::Owners& owners,
                  wire::fleet::PoolOwners* out);
PoolAssignment::Owners DecodeOwners(const wire::fleet::PoolOwners& in);

}  // namespace citronlane

#endif  // CITRONLANE_NET_FLEET_CODEC_H_
