#ifndef CITRONLANE_SERVING_SERVICE_H_
#define CITRONLANE_SERVING_SERVICE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citronlane/serving/cold_server_spec.h"
#include "citronlane/serving/engine_spec.h"
#include "citronlane/serving/stage_pool_spec.h"

namespace citronlane {

/// A set of backend servers that do the same work.
struct Service {
  std::string name_;
  /// Connections that one server accepts from all gateways together.
  uint32_t max_connections_ = 0;
  /// Set for services that run stages.
  std::optional<StagePoolSpec> stage_pool_;
  /// Set for services of model engines.
  std::optional<EngineSpec> engine_;
  /// Set for services whose servers tolerate few requests while they are cold.
  std::optional<ColdServerSpec> cold_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_SERVICE_H_
