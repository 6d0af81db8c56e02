#include "citronlane/relay/owner_table.h"

#include <utility>
#include <vector>

#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/relay/fleet_view.h"

namespace citronlane {
namespace {

/// How long an unreachable gateway is excluded. By then its loss is known
/// everywhere, even if control had to elect a leader.
constexpr Duration kExclusionTime = std::chrono::milliseconds(3000);

}  // namespace

OwnerTable::OwnerTable(const FleetView* view, std::string own_endpoint)
    : view_(view), own_endpoint_(std::move(own_endpoint)) {}

bool OwnerTable::IsExcluded(const std::string& endpoint, TimePoint now) const {
  const auto lost = lost_until_.find(endpoint);
  return lost != lost_until_.end() && lost->second > now;
}

void OwnerTable::MarkLost(const std::string& endpoint, TimePoint now) {
  lost_until_[endpoint] = now + kExclusionTime;
}

bool OwnerTable::IsOwnerLost(const PoolPartition& partition,
                             TimePoint now) const {
  const auto named = view_->owners().find(partition);
  return named != view_->owners().end() && IsExcluded(named->second, now);
}

PoolPartition OwnerTable::PartitionFor(const std::string& service,
                                       const std::string& failure_domain,
                                       uint64_t spread,
                                       TimePoint now) const {
  const std::vector<PoolPartition> partitions = view_->PartitionsOf(service);
  if (partitions.size() == 1) {
    return partitions.front();
  }
  const PoolPartition wanted = view_->PartitionIn(service, failure_domain);
  std::vector<PoolPartition> usable;
  for (const PoolPartition& partition : partitions) {
    if (IsOwnerLost(partition, now)) {
      continue;
    }
    if (partition == wanted) {
      return partition;
    }
    usable.push_back(partition);
  }
  const std::vector<PoolPartition>& from = usable.empty() ? partitions : usable;
  return from[spread % from.size()];
}

std::string OwnerTable::OwnerOf(const PoolPartition& partition,
                                TimePoint now) const {
  const PoolAssignment::Owners& owners = view_->owners();
  const auto named = owners.find(partition);
  if (named != owners.end() && (!IsExcluded(named->second, now) ||
                                view_->IsDivided(partition.service_))) {
    return named->second;
  }
  const FleetView::Gateway* successor = nullptr;
  PoolAssignment::Order best;
  for (const FleetView::Gateway& gateway : view_->gateways()) {
    if (IsExcluded(gateway.endpoint_, now)) {
      continue;
    }
    const auto order = PoolAssignment::SuccessorOrder(
        partition, gateway.endpoint_, gateway.stopping_ || gateway.cut_off_,
        owners, gateway.capacity_);
    if (successor == nullptr || order > best) {
      successor = &gateway;
      best = order;
    }
  }
  return successor == nullptr ? own_endpoint_ : successor->endpoint_;
}

}  // namespace citronlane
