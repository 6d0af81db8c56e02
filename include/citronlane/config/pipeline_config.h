#ifndef CITRONLANE_CONFIG_PIPELINE_CONFIG_H_
#define CITRONLANE_CONFIG_PIPELINE_CONFIG_H_

#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/config/stage_config.h"

namespace citronlane {

/// A sequence of one to six stages with a common deadline.
struct PipelineConfig {
  std::string name_;
  Duration deadline_{};
  /// A request of this pipeline runs at most once; it needs an
  /// Idempotency-Key.
  bool non_idempotent_ = false;
  std::vector<StageConfig> stages_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_PIPELINE_CONFIG_H_
