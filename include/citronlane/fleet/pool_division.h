#ifndef CITRONLANE_FLEET_POOL_DIVISION_H_
#define CITRONLANE_FLEET_POOL_DIVISION_H_

#include <vector>

#include "absl/types/span.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/fleet/pooled_service.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

/// Divides pools into partitions. A pool of few servers gets a single
/// partition, so that its calls carry pieces of all requests. A pool too large
/// for one gateway's network link and processor is divided by failure domain.
/// `held` are the partitions that have owners now: a divided pool stays divided
/// until it has become much smaller. Each service gets at least one partition,
/// and each server that is not leaving is in exactly one. Pure. Thread safe.
std::vector<PoolPartition> DividePools(absl::Span<const PooledService> services,
                                       absl::Span<const BackendServer> servers,
                                       const PoolAssignment::Owners& held);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOL_DIVISION_H_
