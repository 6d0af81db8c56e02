#include "citronlane/state/gateway_registry.h"

namespace citronlane {

bool GatewayRegistry::Register(const wire::GatewayId& gateway,
                               uint64_t* replaced) {
  *replaced = 0;
  wire::GatewayId& present = gateways_[gateway.name()];
  if (present.incarnation() > gateway.incarnation()) {
    return false;
  }
  if (present.incarnation() < gateway.incarnation()) {
    *replaced = present.incarnation();
  }
  present = gateway;
  return true;
}

bool GatewayRegistry::Remove(const std::string& name, uint64_t incarnation) {
  if (!Contains(name, incarnation)) {
    return false;
  }
  gateways_.erase(name);
  return true;
}

bool GatewayRegistry::Contains(const std::string& name,
                               uint64_t incarnation) const {
  const auto found = gateways_.find(name);
  return found != gateways_.end() && found->second.incarnation() == incarnation;
}

void GatewayRegistry::Save(wire::GatewaySnapshot* snapshot) const {
  for (const auto& gateway : gateways_) {
    *snapshot->add_gateways() = gateway.second;
  }
}

void GatewayRegistry::Load(const wire::GatewaySnapshot& snapshot) {
  gateways_.clear();
  for (const wire::GatewayId& gateway : snapshot.gateways()) {
    gateways_[gateway.name()] = gateway;
  }
}

}  // namespace citronlane
