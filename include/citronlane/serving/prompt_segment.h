#ifndef CITRONLANE_SERVING_PROMPT_SEGMENT_H_
#define CITRONLANE_SERVING_PROMPT_SEGMENT_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// A segment of a request's prompt. Requests with the same leading segments
/// share what an engine caches of them.
struct PromptSegment {
  std::string id_;
  uint32_t tokens_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_PROMPT_SEGMENT_H_
