#ifndef CITRONLANE_CONFIG_SERVICE_CONFIG_H_
#define CITRONLANE_CONFIG_SERVICE_CONFIG_H_

#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/config/service_route_config.h"

namespace citronlane {

/// A plain service the system routes to beside the model pipelines. The first
/// route that matches decides; with none, GET and HEAD may repeat and every
/// other method may not.
struct ServiceConfig {
  std::string name_;
  std::string pool_;
  Duration deadline_{};
  std::vector<ServiceRouteConfig> routes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_SERVICE_CONFIG_H_
