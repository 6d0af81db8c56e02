#ifndef CITRONLANE_CONFIG_STAGE_CONFIG_H_
#define CITRONLANE_CONFIG_STAGE_CONFIG_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// One stage of a pipeline.
struct StageConfig {
  std::string name_;
  std::string pool_;
  /// A stage that may not repeat is never hedged, and never retried once a
  /// byte of its call was sent.
  bool non_idempotent_ = false;
  /// Engines only: model name, and the largest number of tokens.
  std::string model_;
  uint32_t max_tokens_ = 256;
  /// Retrievers and rerankers only: how many documents to keep.
  uint32_t top_k_ = 8;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_STAGE_CONFIG_H_
