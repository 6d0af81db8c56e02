#ifndef CITRONLANE_RELAY_SERVER_CALL_LIMITS_H_
#define CITRONLANE_RELAY_SERVER_CALL_LIMITS_H_

#include <cstdint>

#include "citronlane/transport/stage_limits.h"

namespace citronlane {

/// Returns the limits of the calls of a gateway with `memory_mb` MiB of memory
/// to backend servers, other gateways and the platform. Thread safe.
StageLimits ServerCallLimits(uint32_t memory_mb);

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_SERVER_CALL_LIMITS_H_
