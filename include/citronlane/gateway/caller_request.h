#ifndef CITRONLANE_GATEWAY_CALLER_REQUEST_H_
#define CITRONLANE_GATEWAY_CALLER_REQUEST_H_

#include <memory>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/config/stage_config.h"
#include "citronlane/request/pipeline_input.h"

namespace citronlane {

struct AccountConfig;
struct ClassConfig;
struct ClusterConfig;

/// A caller's request, parsed and validated against one configuration.
struct CallerRequest {
  enum class Kind { kPipeline, kChat, kService };

  Kind kind_ = Kind::kPipeline;
  /// Owns what the pointers below refer to.
  std::shared_ptr<const ClusterConfig> config_;
  const AccountConfig* account_ = nullptr;
  const ClassConfig* class_ = nullptr;
  /// Name of the pipeline or service.
  std::string target_;
  std::vector<StageConfig> stages_;
  Duration deadline_{};
  PipelineInput input_;
  /// Path and query to request from the service. kService only.
  std::string service_target_;
  bool stream_ = false;
  /// The request runs at most once: the stages that are marked non-idempotent
  /// are never repeated, or no stage is if none is marked.
  bool non_idempotent_ = false;
  std::string idempotency_key_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CALLER_REQUEST_H_
