#include "citronlane/relay/fleet_view.h"

#include <algorithm>
#include <utility>

#include "citronlane/fleet/drained_servers.h"
#include "citronlane/fleet/pool_division.h"
#include "citronlane/fleet/pooled_service.h"

namespace citronlane {
namespace {

/// Gateways in a small deployment; assumed until the first list of gateways.
constexpr size_t kDefaultGatewayCount = 10;
/// Incarnations remembered as leaving; more than a deployment has servers.
constexpr size_t kMaxLeaving = 16384;

}  // namespace

bool FleetView::SetConfig(std::shared_ptr<const ServingConfig> config) {
  if (config_ && config->version() <= config_->version()) {
    return false;
  }
  config_ = std::move(config);
  UpdatePartitions();
  return true;
}

void FleetView::SetServers(std::vector<BackendServer> servers, TimePoint read) {
  if (servers_read_ && read < *servers_read_) {
    return;
  }
  servers_read_ = read;
  versions_.Update(servers, read);
  listed_ = incarnations_.Latest(std::move(servers), read);
  UseServers();
}

void FleetView::SetDrained(DrainedDomains::Names domains) {
  drained_ = std::move(domains);
  UseServers();
}

void FleetView::SetLeaving(const std::string& server) {
  if (!leaving_.insert(server).second) {
    return;
  }
  leaving_order_.push_back(server);
  if (leaving_order_.size() > kMaxLeaving) {
    leaving_.erase(leaving_order_.front());
    leaving_order_.pop_front();
  }
  UseServers();
}

void FleetView::UseServers() {
  std::vector<BackendServer> servers = WithDrained(listed_, drained_);
  for (BackendServer& server : servers) {
    server.leaving_ = server.leaving_ || leaving_.count(server.id_) != 0;
  }
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
  UpdatePartitions();
}

void FleetView::UpdatePartitions() {
  ++partitions_number_;
  std::vector<PoolPartition> partitions;
  for (const auto& [partition, owner] : owners_) {
    partitions.push_back(partition);
  }
  if (partitions.empty() && config_) {
    partitions = DividePools(PooledServicesOf(*config_), servers_, owners_);
  }
  partitions_.clear();
  for (PoolPartition& partition : partitions) {
    partitions_[partition.service_].push_back(std::move(partition));
  }
}

void FleetView::ConfirmServers(TimePoint read) {
  if (servers_read_) {
    servers_read_ = std::max(*servers_read_, read);
    versions_.Confirm(read);
  }
}

void FleetView::SetGateways(std::vector<Gateway> gateways) {
  gateways_ = std::move(gateways);
  max_gateway_count_ = std::max(max_gateway_count_, gateways_.size());
}

void FleetView::SetOwners(uint64_t number, PoolAssignment::Owners owners) {
  if (number > owners_number_) {
    owners_number_ = number;
    NoteFormerOwners(owners);
    owners_ = std::move(owners);
    UpdatePartitions();
  }
}

void FleetView::NoteFormerOwners(const PoolAssignment::Owners& next) {
  for (const auto& [partition, owner] : owners_) {
    const auto found = next.find(partition);
    if (found == next.end()) {
      former_owners_.erase(partition);
    } else if (found->second != owner) {
      former_owners_[partition] = owner;
    }
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
    const PoolPartition& partition) const {
  std::vector<const BackendServer*> servers;
  for (const BackendServer* server : ServersOf(partition.service_)) {
    if (PartitionIn(partition.service_, server->failure_domain_) == partition) {
      servers.push_back(server);
    }
  }
  return servers;
}

std::vector<PoolPartition> FleetView::PartitionsOf(
    const std::string& service) const {
  const auto partitions = partitions_.find(service);
  return partitions == partitions_.end() ? std::vector<PoolPartition>{service}
                                         : partitions->second;
}

bool FleetView::HasPartition(const PoolPartition& partition) const {
  const auto partitions = partitions_.find(partition.service_);
  return partitions == partitions_.end()
             ? !partition.IsDomainPartition()
             : std::find(partitions->second.begin(), partitions->second.end(),
                         partition) != partitions->second.end();
}

bool FleetView::IsOwner(const PoolPartition& partition,
                        const std::string& endpoint) const {
  const auto owner = owners_.find(partition);
  return owner != owners_.end() && owner->second == endpoint;
}

bool FleetView::BelongsElsewhere(const PoolPartition& partition,
                                 const std::string& endpoint) const {
  const auto owner = owners_.find(partition);
  const bool has_other = owner != owners_.end() && owner->second != endpoint;
  const auto former = former_owners_.find(partition);
  const bool was_here =
      former != former_owners_.end() && former->second == endpoint;
  return !HasPartition(partition) ||
         (has_other && (partition.IsDomainPartition() || was_here));
}

bool FleetView::IsDivided(const std::string& service) const {
  const auto partitions = partitions_.find(service);
  return partitions != partitions_.end() &&
         std::any_of(partitions->second.begin(), partitions->second.end(),
                     [](const PoolPartition& partition) {
                       return partition.IsDomainPartition();
                     });
}

PoolPartition FleetView::PartitionIn(const std::string& service,
                                     const std::string& failure_domain) const {
  PoolPartition partition(service, failure_domain);
  return HasPartition(partition) ? partition : PoolPartition(service);
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
  return max_gateway_count_ == 0 ? kDefaultGatewayCount : max_gateway_count_;
}

}  // namespace citronlane
