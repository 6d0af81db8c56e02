#ifndef CITRONLANE_GATEWAY_CALLER_SERVICE_PARTS_H_
#define CITRONLANE_GATEWAY_CALLER_SERVICE_PARTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "citronlane/gateway/gateway_hooks.h"
#include "citronlane/gateway/request_summary.h"

namespace citronlane {

class AdmissionGate;
class GatewayState;
class PoolShards;
class RefusalWriter;
struct DriverContext;

/// What serving callers is built from. Every pointer is set and outlives the
/// service.
struct CallerServiceParts {
  std::string identity_;
  GatewayState* state_ = nullptr;
  PoolShards* pools_ = nullptr;
  AdmissionGate* admission_ = nullptr;
  RefusalWriter* refusals_ = nullptr;
  const GatewayHooks* hooks_ = nullptr;
  /// One for each thread.
  std::vector<const DriverContext*> contexts_;
  uint64_t stored_answer_bytes_ = 0;
  std::function<void(const RequestSummary&)> on_request_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CALLER_SERVICE_PARTS_H_
