#ifndef CITRONLANE_CONFIG_SERVICE_CONFIG_H_
#define CITRONLANE_CONFIG_SERVICE_CONFIG_H_

#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/config/service_route_config.h"

namespace citronlane {

/// A service whose requests are forwarded to a single pool, without a pipeline.
/// The first matching route determines whether a request may be repeated; if
/// none matches, GET and HEAD may be, other methods may not.
struct ServiceConfig {
  std::string name_;
  std::string pool_;
  Duration deadline_{};
  std::vector<ServiceRouteConfig> routes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_SERVICE_CONFIG_H_
