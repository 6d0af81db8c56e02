#ifndef CITRONLANE_STATE_GATEWAY_REGISTRY_H_
#define CITRONLANE_STATE_GATEWAY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <string>

#include "state.pb.h"

namespace citronlane {

/// Gateways that may hold a configuration lease or a claim: one incarnation a
/// name, and the highest one seen wins. Pure. Not thread safe.
class GatewayRegistry {
 public:
  /// Registers a gateway. False when a later incarnation of the name is
  /// registered. `replaced` gets the earlier incarnation, or 0.
  bool Register(const wire::GatewayId& gateway, uint64_t* replaced);

  /// Takes a gateway out. False when that incarnation is not registered.
  bool Forget(const std::string& name, uint64_t incarnation);

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
