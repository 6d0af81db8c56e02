#ifndef CITRONLANE_RELAY_OWNER_TABLE_H_
#define CITRONLANE_RELAY_OWNER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_partition.h"

namespace citronlane {

class FleetView;

/// Finds the owner of a partition of a service's pool: the gateway that control
/// named. While it is unreachable, work is sent to another partition; no
/// gateway takes over its servers. Only an undivided pool, or a partition
/// without a named owner, has a successor, which all gateways compute alike.
/// Pure: no I/O, no clock. Not thread safe.
class OwnerTable {
 public:
  /// `view` must outlive the object; `own_endpoint` is this gateway's.
  OwnerTable(const FleetView* view, std::string own_endpoint);

  /// Endpoint of the partition's owner or its successor; this gateway's when no
  /// other is known.
  std::string OwnerOf(const PoolPartition& partition, TimePoint now) const;
  /// Partition that takes the service's work: the one of `failure_domain`, or
  /// another one with a reachable owner if that owner is unreachable or there
  /// is no such partition. `spread` selects among the others; different values
  /// distribute over all of them.
  PoolPartition PartitionFor(const std::string& service,
                             const std::string& failure_domain,
                             uint64_t spread,
                             TimePoint now) const;
  /// Whether the partition's named owner was marked as lost recently.
  bool IsOwnerLost(const PoolPartition& partition, TimePoint now) const;
  /// The gateway is unreachable: excludes it for a while.
  void MarkLost(const std::string& endpoint, TimePoint now);

  const std::string& own_endpoint() const { return own_endpoint_; }

 private:
  bool IsExcluded(const std::string& endpoint, TimePoint now) const;

  const FleetView* const view_;
  const std::string own_endpoint_;
  std::map<std::string, TimePoint> lost_until_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_OWNER_TABLE_H_
