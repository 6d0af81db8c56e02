#include "citronlane/fleet/pooled_service.h"

#include "citronlane/serving/serving_config.h"

namespace citronlane {

std::vector<PooledService> PooledServicesOf(const ServingConfig& config) {
  std::vector<PooledService> services;
  for (const Service& service : config.services()) {
    if (service.stage_pool_ || service.engine_) {
      services.push_back({service.name_, service.engine_.has_value()});
    }
  }
  return services;
}

}  // namespace citronlane
