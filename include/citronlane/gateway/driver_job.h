#ifndef CITRONLANE_GATEWAY_DRIVER_JOB_H_
#define CITRONLANE_GATEWAY_DRIVER_JOB_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "citronlane/config/stage_config.h"
#include "citronlane/request/emit_text.h"
#include "citronlane/request/finish_request.h"
#include "citronlane/request/pipeline_input.h"
#include "citronlane/request/request_plan.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {

struct ClusterConfig;
struct RequestFingerprint;

/// An admitted request and the callbacks of its RequestDriver.
struct DriverJob {
  /// Configuration that applied when the request arrived.
  std::shared_ptr<const ClusterConfig> config_;
  RequestPlan plan_;
  /// One entry per stage of the plan.
  std::vector<StageConfig> stages_;
  PipelineInput input_;
  /// Request to forward if the only stage is a plain service. Its target is
  /// the path and query at the service.
  std::optional<HttpRequest> service_call_;
  /// Whether hedges are allowed now. Must be set.
  std::function<bool()> may_hedge_;
  /// Returns what identifies the request's content, and the size of its body.
  /// Must be set.
  std::function<const RequestFingerprint&()> fingerprint_;
  uint64_t body_bytes_ = 0;
  /// Called with each further part of the response text. Empty if the response
  /// is not streamed.
  std::function<void(const EmitText&)> on_text_;
  /// Called once, last, when the request has ended. Must be set.
  std::function<void(const FinishRequest&)> on_finish_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_DRIVER_JOB_H_
