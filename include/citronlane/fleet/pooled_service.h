#ifndef CITRONLANE_FLEET_POOLED_SERVICE_H_
#define CITRONLANE_FLEET_POOLED_SERVICE_H_

#include <string>
#include <vector>

namespace citronlane {

class ServingConfig;

/// A declared service for whose servers gateways decide on behalf of all.
struct PooledService {
  std::string name_;
  /// Its servers are model engines, on which requests are placed; else they
  /// take calls of a stage.
  bool has_engines_ = false;
};

/// Those that a configuration declares. Thread safe.
std::vector<PooledService> PooledServicesOf(const ServingConfig& config);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOLED_SERVICE_H_
