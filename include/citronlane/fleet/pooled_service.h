#ifndef CITRONLANE_FLEET_POOLED_SERVICE_H_
#define CITRONLANE_FLEET_POOLED_SERVICE_H_

#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

class ServingConfig;

/// A declared service whose servers are used through partition owners: one
/// gateway decides for all.
struct PooledService {
  std::string name_;
  /// True when its servers are model engines on which requests are placed;
  /// false when they take calls of a stage.
  bool has_engines_ = false;
  /// Shortest target of the routes that use it; 0 when none has one.
  Duration shortest_target_{};
};

/// Pooled services of a configuration, in its order. Thread safe.
std::vector<PooledService> PooledServicesOf(const ServingConfig& config);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOLED_SERVICE_H_
