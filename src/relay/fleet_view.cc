#include "citronlane/relay/fleet_view.h"

#include <algorithm>
#include <utility>

#include "citronlane/fleet/drained_servers.h"
#include "citronlane/fleet/pool_division.h"
#include "citronlane/fleet/pooled_service.h"

namespace citronlane {
namespace {

/// Until the others are known, as many gateways as small deployments have.
constexpr size_t kUnknownGateways = 10;

}  // namespace

bool FleetView::SetConfig(std::shared_ptr<const ServingConfig> config) {
  if (config_ && config->version() <= config_->version()) {
    return false;
  }
  config_ = std::move(config);
  UpdateParts();
  return true;
}

void FleetView::SetServers(std::vector<BackendServer> servers, TimePoint read) {
  if (servers_read_ && read < *servers_read_) {
    return;
  }
  servers_read_ = read;
  listed_ = starts_.Latest(std::move(servers), read);
  UseServers();
}

void FleetView::SetDrained(DrainedDomains::Names domains) {
  drained_ = std::move(domains);
  UseServers();
}

void FleetView::UseServers() {
  std::vector<BackendServer> servers = WithDrained(listed_, drained_);
  if (servers == servers_) {
    return;
  }
  servers_ = std::move(servers);
  ++servers_number_;
  by_id_.clear();
  by_address_.clear();
  for (size_t i = 0; i < servers_.size(); ++i) {
    by_id_[servers_[i].id_] = i;
    by_address_[servers_[i].address_] = i;
  }
  UpdateParts();
}

void FleetView::UpdateParts() {
  ++parts_number_;
  std::vector<PoolPart> parts;
  for (const auto& [part, owner] : owners_) {
    parts.push_back(part);
  }
  if (parts.empty() && config_) {
    parts = DividePools(PooledServicesOf(*config_), servers_, owners_);
  }
  parts_.clear();
  for (PoolPart& part : parts) {
    parts_[part.service_].push_back(std::move(part));
  }
}

void FleetView::ConfirmServers(TimePoint read) {
  if (servers_read_) {
    servers_read_ = std::max(*servers_read_, read);
  }
}

void FleetView::SetGateways(std::vector<Gateway> gateways) {
  gateways_ = std::move(gateways);
  most_gateways_ = std::max(most_gateways_, gateways_.size());
}

void FleetView::SetOwners(uint64_t number, PoolAssignment::Owners owners) {
  if (number > owners_number_) {
    owners_number_ = number;
    owners_ = std::move(owners);
    UpdateParts();
  }
}

std::vector<const BackendServer*> FleetView::ServersOf(
    std::string_view service) const {
  std::vector<const BackendServer*> servers;
  for (const BackendServer& server : servers_) {
    if (server.service_ == service) {
      servers.push_back(&server);
    }
  }
  return servers;
}

std::vector<const BackendServer*> FleetView::ServersIn(
    const PoolPart& part) const {
  std::vector<const BackendServer*> servers;
  for (const BackendServer* server : ServersOf(part.service_)) {
    if (PartIn(part.service_, server->failure_domain_) == part) {
      servers.push_back(server);
    }
  }
  return servers;
}

std::vector<PoolPart> FleetView::PartsOf(const std::string& service) const {
  const auto parts = parts_.find(service);
  return parts == parts_.end() ? std::vector<PoolPart>{service} : parts->second;
}

bool FleetView::HasPart(const PoolPart& part) const {
  const auto parts = parts_.find(part.service_);
  return parts == parts_.end()
             ? !part.IsDomainPartition()
             : std::find(parts->second.begin(), parts->second.end(), part) !=
                   parts->second.end();
}

bool FleetView::IsElsewhere(const PoolPart& part,
                            const std::string& endpoint) const {
  const auto owner = owners_.find(part);
  const bool has_other = part.IsDomainPartition() && owner != owners_.end() &&
                         owner->second != endpoint;
  return !HasPart(part) || has_other;
}

bool FleetView::IsDivided(const std::string& service) const {
  const auto parts = parts_.find(service);
  return parts != parts_.end() &&
         std::any_of(
             parts->second.begin(), parts->second.end(),
             [](const PoolPart& part) { return part.IsDomainPartition(); });
}

PoolPart FleetView::PartIn(const std::string& service,
                           const std::string& failure_domain) const {
  PoolPart part(service, failure_domain);
  return HasPart(part) ? part : PoolPart(service);
}

const BackendServer* FleetView::FindServer(std::string_view id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : &servers_[it->second];
}

const BackendServer* FleetView::ServerAt(std::string_view address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? nullptr : &servers_[it->second];
}

std::string FleetView::DomainAt(std::string_view address) const {
  const BackendServer* server = ServerAt(address);
  return server == nullptr ? std::string() : server->failure_domain_;
}

std::optional<Duration> FleetView::ServersAge(TimePoint now) const {
  return servers_read_ ? std::optional(now - *servers_read_) : std::nullopt;
}

size_t FleetView::GatewayCount() const {
  return most_gateways_ == 0 ? kUnknownGateways : most_gateways_;
}

}  // namespace citronlane
