#ifndef CITRONLANE_ROUTING_DETAIL_PROMPT_TOKENS_H_
#define CITRONLANE_ROUTING_DETAIL_PROMPT_TOKENS_H_

#include <cstdint>
#include <string_view>

#include "absl/types/span.h"
#include "citronlane/serving/prompt_segment.h"

namespace citronlane {

inline uint32_t AllTokens(absl::Span<const PromptSegment> prompt) {
  uint32_t tokens = 0;
  for (const PromptSegment& segment : prompt) {
    tokens += segment.tokens_;
  }
  return tokens;
}

/// Tokens of the last segment, which no other request shares.
inline uint32_t OwnTokens(absl::Span<const PromptSegment> prompt) {
  return prompt.empty() ? 0 : prompt.back().tokens_;
}

/// Id of the last shared segment, which selects the preferred engine and is
/// looked up among the cached ones. If the prompt has only one segment, its id.
inline std::string_view SharedSegmentId(
    absl::Span<const PromptSegment> prompt) {
  if (prompt.empty()) {
    return {};
  }
  const size_t last = prompt.size() - 1;
  return prompt[last == 0 ? 0 : last - 1].id_;
}

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_PROMPT_TOKENS_H_
