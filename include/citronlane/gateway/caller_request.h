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

/// What a caller asks for, read and checked against one configuration.
struct CallerRequest {
  enum class Kind { kPipeline, kChat, kService };

  Kind kind_ = Kind::kPipeline;
  /// Keeps what the pointers below point to.
  std::shared_ptr<const ClusterConfig> config_;
  const AccountConfig* account_ = nullptr;
  const ClassConfig* class_ = nullptr;
  /// Pipeline or service.
  std::string target_;
  std::vector<StageConfig> stages_;
  Duration deadline_{};
  PipelineInput input_;
  /// kService: path and query at the service.
  std::string service_target_;
  bool stream_ = false;
  /// Runs at most once; its stages marked so, or all when none is, are never
  /// repeated.
  bool non_idempotent_ = false;
  std::string idempotency_key_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CALLER_REQUEST_H_
