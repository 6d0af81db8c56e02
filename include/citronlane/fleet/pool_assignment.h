#ifndef CITRONLANE_FLEET_POOL_ASSIGNMENT_H_
#define CITRONLANE_FLEET_POOL_ASSIGNMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/serving/gateway_capacity.h"

namespace citronlane {

/// Assigns each partition of the pools to the gateway that owns it. The leader
/// runs this and moves as little as possible: a partition changes its owner
/// only when the owner is gone, shutting down or cut off from the servers,
/// because a new owner does not know which results they hold. It does not
/// choose servers and sends nothing. Pure: no I/O, no clock. Not thread safe.
class PoolAssignment {
 public:
  /// Endpoint of the owner of each partition.
  using Owners = std::map<PoolPartition, std::string>;

  /// Partitions of `service` among the keys of `owners`, in order. Thread safe.
  static std::vector<PoolPartition> PartitionsAmong(const Owners& owners,
                                                    const std::string& service);

  /// A gateway that is connected to the leader.
  struct Gateway {
    std::string endpoint_;
    bool stopping_ = false;
    /// Time since its process started.
    Duration age_{};
    std::string failure_domain_{};
    /// Whether it reaches no backend server.
    bool cut_off_ = false;
    GatewayCapacity capacity_{};

    /// Whether others should own its partitions.
    bool ShouldYield() const { return stopping_ || cut_off_; }
  };

  /// Rank of a gateway as the next owner of a partition; higher is better.
  /// Gateways send work to the highest-ranked one without waiting for the
  /// leader while a partition of a new fleet has no owner, or while the owner
  /// of an undivided pool is unreachable. The leader then names the same
  /// gateway. Thread safe.
  using Order = std::tuple<bool, int, bool, uint64_t>;
  static Order SuccessorOrder(const PoolPartition& partition,
                              const std::string& endpoint,
                              bool should_yield,
                              const Owners& owners,
                              const GatewayCapacity& capacity = {});

  /// This node became the leader in `term`. Owners adopted before stay the
  /// assumed state.
  void StartLeading(TimePoint now, uint64_t term);
  /// Takes the owners that a gateway last received, from this leader or an
  /// earlier one, if `number` is higher than the present number.
  void Adopt(uint64_t number, const Owners& owners);
  /// Gives the partition to another gateway at the next Update(). Does nothing
  /// if the partition has no owner now.
  void Move(const PoolPartition& partition, const std::string& endpoint);
  /// Gives partitions without an owner, or whose owner is gone or should yield
  /// them, to other gateways, and drops those that are not in `partitions`.
  /// Returns whether the number rose: it does with each change, and once for
  /// each leader. Does nothing and returns false without gateways, or while a
  /// new leader still waits for gateways to report the owners they know.
  bool Update(absl::Span<const PoolPartition> partitions,
              absl::Span<const Gateway> gateways,
              TimePoint now);

  /// Rises with each change, across leaders too. It contains the leader's term,
  /// so two leaders never use the same number.
  uint64_t number() const { return number_; }
  /// Owners as last assigned or adopted.
  const Owners& owners() const { return owners_; }

 private:
  struct OwnerConnection {
    /// Since when the owner of the partition has not been connected.
    std::optional<TimePoint> disconnected_since_;
    /// Whether the owner has been connected to this leader.
    bool was_connected_ = false;
  };

  bool IsAwaitingOwnerReports(absl::Span<const Gateway> gateways,
                              TimePoint now) const;
  bool IsNewFleet(absl::Span<const Gateway> gateways) const;
  bool KeepsOwner(const PoolPartition& partition,
                  absl::Span<const Gateway> gateways,
                  TimePoint now);
  std::string Choose(absl::Span<const Gateway> gateways,
                     const PoolPartition& partition) const;
  std::string Successor(absl::Span<const Gateway> gateways,
                        const PoolPartition& partition) const;

  uint64_t number_ = 0;
  Owners owners_;
  std::map<PoolPartition, OwnerConnection> owner_connections_;
  /// Whether an owner was changed by Move() since the last Update().
  bool has_moved_ = false;
  TimePoint leading_since_;
  /// First number that this leader may use.
  uint64_t first_number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOL_ASSIGNMENT_H_
