#include "citronlane/fleet/pooled_service.h"

#include <algorithm>
#include <map>

#include "citronlane/serving/serving_config.h"

namespace citronlane {
namespace {

void NoteTarget(const std::string& service,
                Duration target,
                std::map<std::string, Duration>* targets) {
  const auto [it, is_first] = targets->try_emplace(service, target);
  if (!is_first) {
    it->second = std::min(it->second, target);
  }
}

std::map<std::string, Duration> ShortestTargets(const ServingConfig& config) {
  std::map<std::string, Duration> targets;
  for (const auto& route : config.routes()) {
    if (route->target_latency_ <= Duration()) {
      continue;
    }
    for (const RouteStage& stage : route->stages_) {
      NoteTarget(stage.service_, route->target_latency_, &targets);
    }
    for (const WeightedService& part : route->split_) {
      NoteTarget(part.service_, route->target_latency_, &targets);
    }
  }
  return targets;
}

}  // namespace

std::vector<PooledService> PooledServicesOf(const ServingConfig& config) {
  std::vector<PooledService> services;
  const auto targets = ShortestTargets(config);
  for (const Service& service : config.services()) {
    if (service.stage_pool_ || service.engine_) {
      const auto target = targets.find(service.name_);
      services.push_back(
          {service.name_, service.engine_.has_value(),
           target == targets.end() ? Duration() : target->second});
    }
  }
  return services;
}

}  // namespace citronlane
