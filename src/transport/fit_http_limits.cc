#include "citronlane/transport/fit_http_limits.h"

#include <algorithm>

namespace citronlane {
namespace {

// Shares of the machine, as divisors of the whole.
constexpr uint64_t kMemoryDivisor = 8;
constexpr size_t kServedDivisor = 5;
constexpr size_t kServedMultiple = 2;
constexpr size_t kRefusedDivisor = 20;

}  // namespace

HttpLimits FitHttpLimits(HttpLimits limits, const MachineLimits& machine) {
  limits.memory_bytes_ =
      std::min(limits.memory_bytes_, machine.memory_bytes_ / kMemoryDivisor);
  limits.connections_ = std::clamp<size_t>(
      machine.descriptors_ / kServedDivisor * kServedMultiple, 1,
      limits.connections_);
  limits.refused_connections_ = std::clamp<size_t>(
      machine.descriptors_ / kRefusedDivisor, 1, limits.refused_connections_);
  return limits;
}

}  // namespace citronlane
