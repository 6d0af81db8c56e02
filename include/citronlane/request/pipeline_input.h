#ifndef CITRONLANE_REQUEST_PIPELINE_INPUT_H_
#define CITRONLANE_REQUEST_PIPELINE_INPUT_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// What the caller gave to a pipeline.
struct PipelineInput {
  /// Text to encode, search and rank by.
  std::string query_;
  /// Text put to the engine; the same as the query but in conversations.
  std::string prompt_;
  /// Bound set by the caller; 0 for none.
  uint32_t max_tokens_ = 0;
  bool batch_ = false;
  /// CallPriority of the class: 0 is the most urgent.
  uint32_t priority_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_PIPELINE_INPUT_H_
