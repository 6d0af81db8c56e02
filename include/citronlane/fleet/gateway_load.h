#ifndef CITRONLANE_FLEET_GATEWAY_LOAD_H_
#define CITRONLANE_FLEET_GATEWAY_LOAD_H_

#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// How much of a gateway's VM is in use, over about the last two seconds.
/// Figures that are not known are 0.
struct GatewayLoad {
  /// Fraction of the processor that the process may use.
  double processor_use_ = 0;
  /// Fraction of the bandwidth of the VM's link.
  double link_use_ = 0;
  /// How late the event loop gets to work that is ready.
  Duration loop_lag_{};
};

/// Load that a peer reported. Figures that can't be right count as unknown.
/// Thread safe.
GatewayLoad UsableLoad(double processor_use,
                       double link_use,
                       uint64_t loop_lag_ms);
/// Whether any figure is known. Thread safe.
bool IsKnown(const GatewayLoad& load);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_GATEWAY_LOAD_H_
