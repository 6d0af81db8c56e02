#ifndef CITRONLANE_RELAY_GATEWAY_LIMITS_H_
#define CITRONLANE_RELAY_GATEWAY_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "citronlane/net/frame_listener.h"
#include "citronlane/serving/caller_limits.h"
#include "citronlane/transport/http_limits.h"

namespace citronlane {

/// Divides the memory and the descriptors of a gateway's VM among its listeners
/// and its calls to backend servers. Immutable and thread safe.
class GatewayLimits {
 public:
  /// `memory_mb` and `descriptors` are what the process may use.
  GatewayLimits(uint32_t memory_mb, uint32_t descriptors);

  /// Limits of the listener of callers.
  HttpLimits Callers(const CallerLimits& limits) const;
  /// Limits of the listener of requests that other gateways forward.
  HttpLimits Forwarded(const CallerLimits& limits) const;
  /// Limits of each listener of the monitoring: readiness and metrics.
  HttpLimits Monitoring() const;

  /// Maximum number of requests in flight.
  size_t requests() const;
  /// Maximum number of pieces of stages that all requests in flight have.
  uint64_t pieces() const;
  /// Limits of the listener of the fleet's other processes.
  FrameListener::Limits Peers() const;

 private:
  const uint64_t memory_bytes_;
  const size_t descriptors_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_GATEWAY_LIMITS_H_
