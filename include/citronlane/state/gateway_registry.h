#ifndef CITRONLANE_STATE_GATEWAY_REGISTRY_H_
#define CITRONLANE_STATE_GATEWAY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <string>

#include "state.pb.h"

namespace citronlane {

/// Gateways that may hold a configuration lease or a claim: one incarnation per
/// name, where a higher incarnation replaces a lower one. Deterministic and
/// without I/O. Not thread safe.
class GatewayRegistry {
 public:
  /// Registers a gateway. Returns false when a later incarnation of the name is
  /// registered. Sets `replaced` to the earlier incarnation that it replaces,
  /// or to 0.
  bool Register(const wire::GatewayId& gateway, uint64_t* replaced);

  /// Removes a gateway. Returns false when that incarnation is not registered.
  bool Remove(const std::string& name, uint64_t incarnation);

  bool Contains(const std::string& name, uint64_t incarnation) const;

  const std::map<std::string, wire::GatewayId>& gateways() const {
    return gateways_;
  }

  void Save(wire::GatewaySnapshot* snapshot) const;
  void Load(const wire::GatewaySnapshot& snapshot);

 private:
  std::map<std::string, wire::GatewayId> gateways_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_GATEWAY_REGISTRY_H_
