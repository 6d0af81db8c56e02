#include "citronlane/relay/owner_table.h"

#include <utility>
#include <vector>

#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/relay/fleet_view.h"

namespace citronlane {
namespace {

/// A gateway that can't be reached is passed over for this long; by then its
/// going is known everywhere, also when control has a new leader.
constexpr Duration kPassOver = std::chrono::milliseconds(3000);

}  // namespace

OwnerTable::OwnerTable(const FleetView* view, std::string own_endpoint)
    : view_(view), own_endpoint_(std::move(own_endpoint)) {}

bool OwnerTable::IsPassedOver(const std::string& endpoint,
                              TimePoint now) const {
  const auto lost = lost_until_.find(endpoint);
  return lost != lost_until_.end() && lost->second > now;
}

void OwnerTable::MarkLost(const std::string& endpoint, TimePoint now) {
  lost_until_[endpoint] = now + kPassOver;
}

bool OwnerTable::IsOut(const PoolPart& part, TimePoint now) const {
  const auto named = view_->owners().find(part);
  return named != view_->owners().end() && IsPassedOver(named->second, now);
}

PoolPart OwnerTable::PartFor(const std::string& service,
                             const std::string& failure_domain,
                             uint64_t spread,
                             TimePoint now) const {
  const std::vector<PoolPart> parts = view_->PartsOf(service);
  if (parts.size() == 1) {
    return parts.front();
  }
  const PoolPart wanted = view_->PartIn(service, failure_domain);
  std::vector<PoolPart> usable;
  for (const PoolPart& part : parts) {
    if (IsOut(part, now)) {
      continue;
    }
    if (part == wanted) {
      return part;
    }
    usable.push_back(part);
  }
  const std::vector<PoolPart>& from = usable.empty() ? parts : usable;
  return from[spread % from.size()];
}

std::string OwnerTable::OwnerOf(const PoolPart& part, TimePoint now) const {
  const PoolAssignment::Owners& owners = view_->owners();
  const auto named = owners.find(part);
  if (named != owners.end() &&
      (!IsPassedOver(named->second, now) || view_->IsDivided(part.service_))) {
    return named->second;
  }
  const FleetView::Gateway* successor = nullptr;
  PoolAssignment::Order best;
  for (const FleetView::Gateway& gateway : view_->gateways()) {
    if (IsPassedOver(gateway.endpoint_, now)) {
      continue;
    }
    const auto order = PoolAssignment::SuccessorOrder(
        part, gateway.endpoint_, gateway.stopping_, owners);
    if (successor == nullptr || order > best) {
      successor = &gateway;
      best = order;
    }
  }
  return successor == nullptr ? own_endpoint_ : successor->endpoint_;
}

}  // namespace citronlane
