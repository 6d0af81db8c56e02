#ifndef CITRONLANE_CONFIG_STAGE_CONFIG_H_
#define CITRONLANE_CONFIG_STAGE_CONFIG_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// One stage of a pipeline.
struct StageConfig {
  std::string name_;
  std::string pool_;
  /// The stage must not run twice: it is never hedged, and retried only if no
  /// byte of its call was sent or the server proved that it did not run.
  bool non_idempotent_ = false;
  /// Engines only: model name, and the largest number of tokens to generate.
  std::string model_;
  uint32_t max_tokens_ = 256;
  /// Retrievers and rerankers only: the number of documents to return.
  uint32_t top_k_ = 8;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_STAGE_CONFIG_H_
