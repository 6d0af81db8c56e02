#ifndef CITRONLANE_CONFIG_SERVICE_ROUTE_CONFIG_H_
#define CITRONLANE_CONFIG_SERVICE_ROUTE_CONFIG_H_

#include <string>

namespace citronlane {

/// A route of a service without a pipeline: an HTTP method and a path prefix.
struct ServiceRouteConfig {
  std::string method_;
  std::string prefix_;
  /// Calls of this route may not be repeated.
  bool non_idempotent_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_SERVICE_ROUTE_CONFIG_H_
