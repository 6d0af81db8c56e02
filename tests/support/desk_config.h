#ifndef CITRONLANE_TESTS_SUPPORT_DESK_CONFIG_H_
#define CITRONLANE_TESTS_SUPPORT_DESK_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "citronlane/serving/backend_server.h"
#include "citronlane/serving/serving_config.h"

namespace citronlane {

/// Configuration with one public route, all paths of host "h", to the plain
/// service "desk". A request is sent to one server at most.
inline ServingConfig::Parts DeskConfig(RouteKind kind, uint64_t version = 1) {
  ServingConfig::Parts parts;
  parts.version_ = version;
  Service service;
  service.name_ = "desk";
  parts.services_.push_back(service);
  Route route;
  route.name_ = "lookup";
  route.host_ = "h";
  route.prefix_ = "/";
  route.kind_ = kind;
  route.timeout_ = std::chrono::seconds(5);
  route.target_latency_ = std::chrono::seconds(1);
  route.max_attempts_ = 1;
  route.is_public_ = true;
  route.split_ = {{"desk", 1}};
  parts.routes_.push_back(std::make_shared<const Route>(route));
  return parts;
}

/// The only server of "desk", at a port of the loopback.
inline std::vector<BackendServer> DeskServer(uint16_t port) {
  BackendServer server;
  server.id_ = "s";
  server.name_ = "s";
  server.service_ = "desk";
  server.address_ = "127.0.0.1:" + std::to_string(port);
  server.failure_domain_ = "a";
  return {server};
}

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_DESK_CONFIG_H_
