#include "citronlane/fleet/gateway_load.h"

#include <algorithm>
#include <cmath>

namespace citronlane {
namespace {

/// Larger figures say no more: the VM is overloaded.
constexpr double kMaxUse = 10;
constexpr uint64_t kMaxLagMs = 60000;

double Usable(double use) {
  return std::isfinite(use) && use > 0 ? std::min(use, kMaxUse) : 0;
}

}  // namespace

GatewayLoad UsableLoad(double processor_use,
                       double link_use,
                       uint64_t loop_lag_ms) {
  return {Usable(processor_use), Usable(link_use),
          std::chrono::milliseconds(std::min(loop_lag_ms, kMaxLagMs))};
}

bool IsKnown(const GatewayLoad& load) {
  return load.processor_use_ > 0 || load.link_use_ > 0 ||
         load.loop_lag_ > Duration();
}

}  // namespace citronlane
