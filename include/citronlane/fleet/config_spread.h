#ifndef CITRONLANE_FLEET_CONFIG_SPREAD_H_
#define CITRONLANE_FLEET_CONFIG_SPREAD_H_

#include <cstdint>

namespace citronlane {

/// How far the newest configuration has come.
struct ConfigSpread {
  uint64_t newest_ = 0;
  /// Lowest version that a gateway holds; 0 when one holds none.
  uint64_t lowest_ = 0;
  uint64_t gateways_ = 0;
  /// Gateways that hold an older version, or none.
  uint64_t behind_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_CONFIG_SPREAD_H_
