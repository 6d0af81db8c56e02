#ifndef CITRONLANE_TESTS_SUPPORT_PRESS_CONFIG_H_
#define CITRONLANE_TESTS_SUPPORT_PRESS_CONFIG_H_

#include <cstdint>
#include <memory>

#include "citronlane/serving/serving_config.h"
#include "citronlane/serving/stage_pool_spec.h"

namespace citronlane {

/// Returns a stage pool with short calls and servers that store 1,000 bytes of
/// results.
inline StagePoolSpec PressSpec(uint32_t batch = StagePoolSpec().batch_) {
  StagePoolSpec spec;
  spec.batch_ = batch;
  spec.call_time_ = std::chrono::milliseconds(20);
  spec.result_capacity_bytes_ = 1000;
  spec.result_lifetime_ = std::chrono::seconds(4);
  return spec;
}

/// Returns a configuration whose only route, for host "h", is streamed and has
/// one stage of the service "press" before a call to the service "engine".
inline ServingConfig::Parts PressConfig() {
  ServingConfig::Parts parts;
  parts.version_ = 1;
  Service press;
  press.name_ = "press";
  press.max_connections_ = 10;
  press.stage_pool_ = PressSpec();
  Service engine;
  engine.name_ = "engine";
  engine.max_connections_ = 10;
  parts.services_ = {press, engine};
  Route route;
  route.name_ = "letter";
  route.host_ = "h";
  route.prefix_ = "/";
  route.kind_ = RouteKind::kStreaming;
  route.timeout_ = std::chrono::seconds(4);
  route.target_latency_ = std::chrono::seconds(1);
  route.is_public_ = true;
  route.split_ = {{"engine", 1}};
  route.stages_ = {{"press", {}, 10}};
  parts.routes_ = {std::make_shared<const Route>(route)};
  return parts;
}

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_PRESS_CONFIG_H_
