#ifndef CITRONLANE_FLEET_RENDEZVOUS_H_
#define CITRONLANE_FLEET_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace citronlane {

/// Weight of a node for a key in rendezvous hashing: the node with the highest
/// weight is preferred for the key. All gateways and control VMs that know the
/// same nodes agree on it, and a node that joins or leaves moves only its own
/// keys. Thread safe.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_RENDEZVOUS_H_
