#ifndef CITRONLANE_FLEET_POOL_DIVISION_H_
#define CITRONLANE_FLEET_POOL_DIVISION_H_

#include <map>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/fleet/pooled_service.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

/// Whether a pool is to be divided.
enum class PoolDivision {
  /// Whatever its number of servers.
  kDivided,
  /// Unless it has too many servers for one owner.
  kUndivided,
};
/// By service; a pool that is missing is divided by its number of servers.
using PoolDivisions = std::map<std::string, PoolDivision>;

/// Divides pools into partitions. A pool of few servers gets a single
/// partition, so that its calls carry pieces of all requests. A pool too large
/// for one gateway's network link and processor is divided by failure domain.
/// `held` are the partitions that have owners now: a divided pool stays divided
/// until it has become much smaller, unless `divisions` says otherwise. Each
/// service gets at least one partition,
/// and each server that is not leaving is in exactly one. Pure. Thread safe.
std::vector<PoolPartition> DividePools(absl::Span<const PooledService> services,
                                       absl::Span<const BackendServer> servers,
                                       const PoolAssignment::Owners& held,
                                       const PoolDivisions& divisions = {});

/// Whether PoolDivision::kDivided would give the service several partitions.
/// Pure. Thread safe.
bool CanDivide(const PooledService& service,
               absl::Span<const BackendServer> servers);

/// Whether `held` has partitions of failure domains of the service. Thread
/// safe.
bool IsDividedAmong(const PoolAssignment::Owners& held,
                    const std::string& service);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOL_DIVISION_H_
