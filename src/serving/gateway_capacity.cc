#include "citronlane/serving/gateway_capacity.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace citronlane {
namespace {

/// Two steps differ by the square root of 2: half the capacity is two steps
/// less.
constexpr double kStepsPerDoubling = 2;
/// Bytes that an owner sends and receives in the time in which it uses one
/// second of a core.
constexpr double kBytesPerCoreSecond = 1e6;
/// Larger figures are equal; also keeps steps far from the limits of int.
constexpr double kMaxCores = 1e6;

double Usable(double figure) {
  return std::isfinite(figure) && figure > 0 ? figure : 0;
}

}  // namespace

GatewayCapacity UsableCapacity(double processor_cores,
                               double link_bytes_per_second) {
  return {Usable(processor_cores), Usable(link_bytes_per_second)};
}

int CapacityStep(const GatewayCapacity& capacity, int partitions) {
  const double cores = Usable(capacity.processor_cores_);
  const double link =
      Usable(capacity.link_bytes_per_second_) / kBytesPerCoreSecond;
  const double least =
      cores > 0 && link > 0 ? std::min(cores, link) : std::max(cores, link);
  const double share = std::min(least, kMaxCores) / partitions;
  if (!(share > 0)) {
    return std::numeric_limits<int>::min();
  }
  return static_cast<int>(std::floor(std::log2(share) * kStepsPerDoubling));
}

}  // namespace citronlane
