#ifndef CITRONLANE_REQUEST_PIPELINE_INPUT_H_
#define CITRONLANE_REQUEST_PIPELINE_INPUT_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// Input of a pipeline, from the caller's request.
struct PipelineInput {
  /// Text to encode, search and rank by.
  std::string query_;
  /// Prompt of the engine; differs from the query only in conversations.
  std::string prompt_;
  /// Most tokens to generate, set by the caller; 0 for no bound.
  uint32_t max_tokens_ = 0;
  bool batch_ = false;
  /// CallPriority of the class: 0 is the most urgent.
  uint32_t priority_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_PIPELINE_INPUT_H_
