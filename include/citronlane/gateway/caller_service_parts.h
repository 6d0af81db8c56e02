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

/// Dependencies of CallerService. Every pointer must be set and outlive the
/// service; on_request_ must be set.
struct CallerServiceParts {
  /// Gateway::identity; the prefix of request ids.
  std::string identity_;
  GatewayState* state_ = nullptr;
  PoolShards* pools_ = nullptr;
  AdmissionGate* admission_ = nullptr;
  RefusalWriter* refusals_ = nullptr;
  const GatewayHooks* hooks_ = nullptr;
  /// One per thread, indexed by shard.
  std::vector<const DriverContext*> contexts_;
  /// Maximum size of an answer stored under an Idempotency-Key.
  uint64_t stored_answer_bytes_ = 0;
  /// Called when an admitted request has ended, on the thread that served it.
  std::function<void(const RequestSummary&)> on_request_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CALLER_SERVICE_PARTS_H_
