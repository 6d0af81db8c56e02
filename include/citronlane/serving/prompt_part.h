#ifndef CITRONLANE_SERVING_PROMPT_PART_H_
#define CITRONLANE_SERVING_PROMPT_PART_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// A part of a request's prompt; requests that share their first parts share
/// what an engine keeps of them.
struct PromptPart {
  std::string id_;
  uint32_t tokens_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_PROMPT_PART_H_
