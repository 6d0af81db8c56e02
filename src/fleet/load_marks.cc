#include "citronlane/fleet/load_marks.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "citronlane/fleet/rendezvous.h"

namespace citronlane {
namespace {

/// Above this use queues grow with each small burst.
constexpr double kHighUse = 0.75;
/// Its partitions use at least this much of an overloaded owner.
constexpr double kMinOwnedUse = 0.2;
/// Until then the load of a gateway is that of its start.
constexpr Duration kStartTime = std::chrono::seconds(5);
/// A lone owner with less has room for a burst of twice its load.
constexpr double kLowUse = 0.3;
/// A request passes the loops of its owners about six times. Together they may
/// take up to a third of its target.
constexpr int kTargetPerLag = 18;
/// For pools whose callers have no target.
constexpr Duration kDefaultLagMark = std::chrono::milliseconds(100);
/// A move costs the work that waits in the partition a second submission, so
/// the next owner must have this much more left for it.
constexpr double kClearlyMore = 1.5;
/// An owner has at least this part of its capacity for a partition.
constexpr double kMinShare = 0.05;
/// A gateway that has run this long is not in a crash loop.
constexpr Duration kSettledAge = std::chrono::seconds(3);

/// What is left relative to `needed`; unlimited if the VM's capacity is not
/// known for either.
double Ratio(double left, double needed) {
  return needed > 0 ? left / needed : std::numeric_limits<double>::infinity();
}

struct Room {
  /// Capacity left, by that of the present owner; the lesser of both.
  double more_ = 0;
  /// Use with the partition, the greater of both.
  double use_ = 0;
};

double UseOf(double used, double capacity) {
  return capacity > 0 ? used / capacity : 0;
}

Room RoomAt(const FleetLoad::Gateway& gateway,
            const FleetLoad::Amount& left_now,
            const FleetLoad::Amount& cost) {
  const auto capacity = FleetLoad::CapacityOf(gateway);
  const auto used = FleetLoad::UsedBy(gateway);
  return {
      std::min(
          Ratio(capacity.processor_ - used.processor_, left_now.processor_),
          Ratio(capacity.link_ - used.link_, left_now.link_)),
      std::max(UseOf(used.processor_ + cost.processor_, capacity.processor_),
               UseOf(used.link_ + cost.link_, capacity.link_))};
}

/// Rounded, so that gateways with about the same room are equal.
int InSteps(double more) {
  constexpr double kStepsPerTime = 2;
  constexpr double kMaxMore = 1000;
  return static_cast<int>(std::min(more, kMaxMore) * kStepsPerTime);
}

double LeftForOne(double capacity, double base, size_t partitions) {
  return std::max(capacity - base, capacity * kMinShare) /
         static_cast<double>(partitions);
}

}  // namespace

Duration LagMark(absl::Span<const PooledService> services,
                 absl::Span<const PoolPartition> partitions) {
  Duration shortest = kDefaultLagMark * kTargetPerLag;
  for (const PooledService& service : services) {
    const bool is_owned = std::any_of(partitions.begin(), partitions.end(),
                                      [&](const PoolPartition& owned) {
                                        return owned.service_ == service.name_;
                                      });
    if (is_owned && service.shortest_target_ > Duration()) {
      shortest = std::min(shortest, service.shortest_target_);
    }
  }
  return shortest / kTargetPerLag;
}

bool IsOverloaded(const FleetLoad& loads,
                  const FleetLoad::Gateway& owner,
                  absl::Span<const PooledService> services) {
  const auto partitions = loads.PartitionsOf(owner.gateway_.endpoint_);
  if (partitions.empty() || owner.gateway_.age_ < kStartTime) {
    return false;
  }
  const auto capacity = FleetLoad::CapacityOf(owner);
  const auto is_high = [](double use, double base, double of) {
    return use >= kHighUse && use - UseOf(base, of) >= kMinOwnedUse;
  };
  const GatewayLoad& load = owner.load_;
  return is_high(load.processor_use_, loads.base().processor_,
                 capacity.processor_) ||
         is_high(load.link_use_, loads.base().link_, capacity.link_) ||
         load.loop_lag_ - loads.base_lag() >= LagMark(services, partitions);
}

const FleetLoad::Gateway* ClearlyBetterOwner(const FleetLoad& loads,
                                             const FleetLoad::Gateway& owner,
                                             const PoolPartition& partition,
                                             Duration lag_mark) {
  const auto capacity = FleetLoad::CapacityOf(owner);
  const size_t owned = loads.PartitionsOf(owner.gateway_.endpoint_).size();
  if (capacity.processor_ <= 0 || owned == 0) {
    return nullptr;
  }
  const FleetLoad::Amount left_now{
      LeftForOne(capacity.processor_, loads.base().processor_, owned),
      LeftForOne(capacity.link_, loads.base().link_, owned)};
  const auto cost = loads.CostOfPartition(owner);
  const FleetLoad::Gateway* best = nullptr;
  std::tuple<int, bool, uint64_t> best_order;
  for (const FleetLoad::Gateway* gateway : loads.known()) {
    const PoolAssignment::Gateway& candidate = gateway->gateway_;
    const Room room = RoomAt(*gateway, left_now, cost);
    if (gateway == &owner || candidate.ShouldYield() ||
        candidate.age_ < kSettledAge || room.more_ < kClearlyMore ||
        room.use_ >= kHighUse || gateway->load_.loop_lag_ * 2 >= lag_mark) {
      continue;
    }
    const std::tuple<int, bool, uint64_t> order{
        InSteps(room.more_),
        candidate.failure_domain_ == partition.failure_domain_,
        RendezvousWeight(partition.Name(), candidate.endpoint_)};
    if (best == nullptr || order > best_order) {
      best = gateway;
      best_order = order;
    }
  }
  return best;
}

std::optional<GatewayLoad> LowLoadOfLoneOwner(
    const FleetLoad& loads,
    const PoolAssignment::Owners& owners,
    absl::Span<const PoolPartition> partitions,
    Duration lag_mark) {
  FleetLoad::Amount all = loads.base();
  for (const PoolPartition& partition : partitions) {
    const auto named = owners.find(partition);
    const FleetLoad::Gateway* owner =
        named == owners.end() ? nullptr : loads.Find(named->second);
    if (owner == nullptr || owner->load_.loop_lag_ * 2 >= lag_mark) {
      return std::nullopt;
    }
    const auto cost = loads.CostOfPartition(*owner);
    all.processor_ += cost.processor_;
    all.link_ += cost.link_;
  }
  std::optional<GatewayLoad> least;
  for (const FleetLoad::Gateway* gateway : loads.known()) {
    const auto capacity = FleetLoad::CapacityOf(*gateway);
    if (gateway->gateway_.ShouldYield() || capacity.processor_ <= 0) {
      continue;
    }
    GatewayLoad load;
    load.processor_use_ = UseOf(all.processor_, capacity.processor_);
    load.link_use_ = UseOf(all.link_, capacity.link_);
    if (load.processor_use_ < kLowUse && load.link_use_ < kLowUse &&
        (!least || load.processor_use_ < least->processor_use_)) {
      least = load;
    }
  }
  return least;
}

}  // namespace citronlane
