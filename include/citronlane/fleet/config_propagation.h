#ifndef CITRONLANE_FLEET_CONFIG_PROPAGATION_H_
#define CITRONLANE_FLEET_CONFIG_PROPAGATION_H_

#include <cstdint>

namespace citronlane {

/// Propagation of the newest configuration to the gateways.
struct ConfigPropagation {
  uint64_t newest_ = 0;
  /// Lowest version held by a gateway; 0 when some gateway holds none.
  uint64_t lowest_ = 0;
  uint64_t gateways_ = 0;
  /// Number of gateways that hold an older version or none.
  uint64_t behind_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_CONFIG_PROPAGATION_H_
