#include "citronlane/fleet/pool_assignment.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "citronlane/fleet/rendezvous.h"

namespace citronlane {
namespace {

/// Within about this time gateways connect to a new leader and report the
/// owners that they know.
constexpr Duration kOwnerReportTime = std::chrono::milliseconds(600);
/// When all gateways have just started, each holds connections to all control
/// VMs, and no owners are known that could be reported.
constexpr Duration kNewFleetTime = std::chrono::milliseconds(150);
/// A gateway whose connection was reset reconnects sooner.
constexpr Duration kOwnerLossTimeout = std::chrono::milliseconds(300);
/// How long a new leader waits for owners that have not connected to it yet.
/// With a shorter wait few gateways would be connected, and they would be given
/// more pools than their links and processors can handle.
constexpr Duration kOwnerReconnectTime = std::chrono::seconds(2);
/// A gateway that has run this long is not in a crash loop.
constexpr Duration kSettledAge = std::chrono::seconds(3);
/// Low bits of a number, which count one leader's changes; the leader's term is
/// above them. Otherwise a leader that is cut off and its successor could use
/// one number for different owners.
constexpr int kChangeBits = 24;

/// Endpoint of the gateway with the highest `order`. Precondition: there is
/// one.
template <typename Order>
std::string HighestOf(absl::Span<const PoolAssignment::Gateway> gateways,
                      const Order& order) {
  using Gateway = PoolAssignment::Gateway;
  return std::max_element(gateways.begin(), gateways.end(),
                          [&](const Gateway& a, const Gateway& b) {
                            return order(a) < order(b);
                          })
      ->endpoint_;
}

}  // namespace

std::vector<PoolPartition> PoolAssignment::PartitionsAmong(
    const Owners& owners,
    const std::string& service) {
  std::vector<PoolPartition> partitions;
  for (auto it = owners.lower_bound(PoolPartition(service));
       it != owners.end() && it->first.service_ == service; ++it) {
    partitions.push_back(it->first);
  }
  return partitions;
}

PoolAssignment::Order PoolAssignment::SuccessorOrder(
    const PoolPartition& partition,
    const std::string& endpoint,
    bool should_yield,
    const Owners& owners,
    const GatewayCapacity& capacity) {
  const bool runs_one =
      std::any_of(owners.begin(), owners.end(), [&](const auto& owner) {
        return owner.first != partition && owner.second == endpoint;
      });
  return {!should_yield, CapacityStep(capacity, runs_one ? 2 : 1), !runs_one,
          RendezvousWeight(partition.Name(), endpoint)};
}

void PoolAssignment::StartLeading(TimePoint now, uint64_t term) {
  leading_since_ = now;
  first_number_ = term << kChangeBits;
  owner_connections_.clear();
}

void PoolAssignment::Adopt(uint64_t number, const Owners& owners) {
  if (number > number_) {
    number_ = number;
    owners_ = owners;
  }
}

// Gateways that have run for a while know the owners, but those that have just
// started are often the first to connect to a new leader.
bool PoolAssignment::IsAwaitingOwnerReports(absl::Span<const Gateway> gateways,
                                            TimePoint now) const {
  if (number_ != 0) {
    return now < leading_since_ + kOwnerReportTime;
  }
  return now < leading_since_ +
                   (IsNewFleet(gateways) ? kNewFleetTime : kOwnerReconnectTime);
}

// Every gateway has just started, so none can know an owner.
bool PoolAssignment::IsNewFleet(absl::Span<const Gateway> gateways) const {
  return number_ == 0 && std::none_of(gateways.begin(), gateways.end(),
                                      [](const Gateway& gateway) {
                                        return gateway.age_ >= kSettledAge;
                                      });
}

// Prefers gateways with the most capacity for each of their partitions, then
// those that own the fewest, then those in the failure domain of the
// partition's servers, then the youngest that is settled: when
// all gateways are restarted in turn, it is the last to be restarted again.
std::string PoolAssignment::Choose(absl::Span<const Gateway> gateways,
                                   const PoolPartition& partition) const {
  const std::string name = partition.Name();
  const auto order = [&](const Gateway& gateway) {
    const auto runs = std::count_if(
        owners_.begin(), owners_.end(),
        [&](const auto& owner) { return owner.second == gateway.endpoint_; });
    return std::make_tuple(
        !gateway.ShouldYield(), gateway.age_ >= kSettledAge,
        CapacityStep(gateway.capacity_, static_cast<int>(runs) + 1), -runs,
        gateway.failure_domain_ == partition.failure_domain_, -gateway.age_,
        RendezvousWeight(name, gateway.endpoint_));
  };
  return HighestOf(gateways, order);
}

// Gateways detect a lost owner before the leader does and send work to this
// gateway. If the leader named another one, the pool would change its owner
// twice.
std::string PoolAssignment::Successor(absl::Span<const Gateway> gateways,
                                      const PoolPartition& partition) const {
  const auto order = [&](const Gateway& gateway) {
    return SuccessorOrder(partition, gateway.endpoint_, gateway.ShouldYield(),
                          owners_, gateway.capacity_);
  };
  return HighestOf(gateways, order);
}

// Whether the partition keeps its owner for now.
bool PoolAssignment::KeepsOwner(const PoolPartition& partition,
                                absl::Span<const Gateway> gateways,
                                TimePoint now) {
  const std::string& owner = owners_.at(partition);
  OwnerConnection& connection = owner_connections_[partition];
  const auto found = std::find_if(
      gateways.begin(), gateways.end(),
      [&](const Gateway& gateway) { return gateway.endpoint_ == owner; });
  if (found != gateways.end()) {
    connection.disconnected_since_.reset();
    connection.was_connected_ = true;
    const bool some_stay = std::any_of(
        gateways.begin(), gateways.end(),
        [](const Gateway& gateway) { return !gateway.ShouldYield(); });
    return !found->ShouldYield() || !some_stay;
  }
  if (!connection.disconnected_since_) {
    connection.disconnected_since_ = now;
  }
  return now - *connection.disconnected_since_ < kOwnerLossTimeout ||
         (!connection.was_connected_ &&
          now - leading_since_ < kOwnerReconnectTime);
}

void PoolAssignment::Move(const PoolPartition& partition,
                          const std::string& endpoint) {
  const auto owned = owners_.find(partition);
  if (owned != owners_.end() && owned->second != endpoint) {
    owned->second = endpoint;
    owner_connections_[partition] = OwnerConnection{std::nullopt, true};
    has_moved_ = true;
  }
}

bool PoolAssignment::Update(absl::Span<const PoolPartition> partitions,
                            absl::Span<const Gateway> gateways,
                            TimePoint now) {
  if (gateways.empty() || IsAwaitingOwnerReports(gateways, now)) {
    return false;
  }
  // By now the gateways of a new fleet send work to the successors, so these
  // become the owners.
  const bool is_new = IsNewFleet(gateways);
  bool changed = has_moved_;
  has_moved_ = false;
  for (auto it = owners_.begin(); it != owners_.end();) {
    const bool is_declared = std::find(partitions.begin(), partitions.end(),
                                       it->first) != partitions.end();
    changed = changed || !is_declared;
    it = is_declared ? std::next(it) : owners_.erase(it);
  }
  for (const PoolPartition& partition : partitions) {
    const auto owned = owners_.find(partition);
    if (owned != owners_.end() && KeepsOwner(partition, gateways, now)) {
      continue;
    }
    const bool is_lost = owned != owners_.end() &&
                         owner_connections_[partition].disconnected_since_;
    if (owned != owners_.end()) {
      owners_.erase(owned);
    }
    // When the owner of a domain partition is lost, gateways use the other
    // partitions instead of a successor.
    const bool has_successor =
        is_new || (is_lost && !partition.IsDomainPartition());
    owners_[partition] = has_successor ? Successor(gateways, partition)
                                       : Choose(gateways, partition);
    owner_connections_[partition] = OwnerConnection{std::nullopt, true};
    changed = true;
  }
  // Also without a change: the previous leader may have sent a change to some
  // gateways only.
  const bool is_first = number_ < first_number_;
  if (changed || is_first) {
    number_ = std::max(number_ + 1, first_number_);
  }
  return changed || is_first;
}

}  // namespace citronlane
