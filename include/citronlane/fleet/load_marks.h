#ifndef CITRONLANE_FLEET_LOAD_MARKS_H_
#define CITRONLANE_FLEET_LOAD_MARKS_H_

#include <optional>
#include <string>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/fleet_load.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/fleet/pooled_service.h"

namespace citronlane {

/// Lag of an owner's event loop from which on it costs the callers of these
/// partitions their targets. Pure. Thread safe.
Duration LagMark(absl::Span<const PooledService> services,
                 absl::Span<const PoolPartition> partitions);

/// Whether an owner has more load than it can carry, because of the partitions
/// that it owns and not for a reason that all gateways have alike. Pure. Thread
/// safe.
bool IsOverloaded(const FleetLoad& loads,
                  const FleetLoad::Gateway& owner,
                  absl::Span<const PooledService> services);

/// Gateway that would carry one of the owner's partitions with clearly more
/// capacity left for it, and best; null when there is none. Pure. Thread safe.
const FleetLoad::Gateway* ClearlyBetterOwner(const FleetLoad& loads,
                                             const FleetLoad::Gateway& owner,
                                             const PoolPartition& partition,
                                             Duration lag_mark);

/// Use of the VM of the best lone owner if it owned all partitions of a pool,
/// nothing when one of their owners has not reported or that use would not be
/// low. Pure. Thread safe.
std::optional<GatewayLoad> LowLoadOfLoneOwner(
    const FleetLoad& loads,
    const PoolAssignment::Owners& owners,
    absl::Span<const PoolPartition> partitions,
    Duration lag_mark);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_LOAD_MARKS_H_
