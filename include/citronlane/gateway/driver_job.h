#ifndef CITRONLANE_GATEWAY_DRIVER_JOB_H_
#define CITRONLANE_GATEWAY_DRIVER_JOB_H_

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

/// One admitted request, ready to be driven.
struct DriverJob {
  /// The version the request began with.
  std::shared_ptr<const ClusterConfig> config_;
  RequestPlan plan_;
  /// One for each stage of the plan.
  std::vector<StageConfig> stages_;
  PipelineInput input_;
  /// The call to pass on, when the only stage is a plain service. Its target
  /// is the path at the service.
  std::optional<HttpRequest> service_call_;
  /// Whether second calls beside slow ones may be made now.
  std::function<bool()> may_hedge_;
  /// Next text of the answer. May be empty for answers given whole.
  std::function<void(const EmitText&)> on_text_;
  /// The request is over; called once, last.
  std::function<void(const FinishRequest&)> on_finish_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_DRIVER_JOB_H_
