#ifndef CITRONLANE_FLEET_POOL_DIVISION_H_
#define CITRONLANE_FLEET_POOL_DIVISION_H_

#include <vector>

#include "absl/types/span.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/pool_part.h"
#include "citronlane/fleet/pooled_service.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

/// Divides the pools into parts: a pool of few servers stays whole, so that
/// its calls carry pieces of all requests; a large one, which would be more
/// than the link and the processor of one gateway can carry, is divided by
/// failure domain. `held` are the parts that have owners now: what is divided
/// stays so until it has become much smaller. Each declared service has at
/// least one part, and each server is in exactly one. Pure. Thread safe.
std::vector<PoolPart> DividePools(absl::Span<const PooledService> services,
                                  absl::Span<const BackendServer> servers,
                                  const PoolAssignment::Owners& held);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOL_DIVISION_H_
