#ifndef CITRONLANE_ROUTING_REQUEST_FACTS_H_
#define CITRONLANE_ROUTING_REQUEST_FACTS_H_

#include <cstdint>
#include <string_view>

namespace citronlane {

/// What is known of a request before it runs. Borrows its data. Token counts
/// are as the caller declares them, and 0 when it does not.
struct RequestFacts {
  std::string_view route_;
  std::string_view account_;
  /// Tokens of the prompt's segments, and of those that the engine holds.
  double segment_tokens_ = 0;
  double held_tokens_ = 0;
  uint32_t prompt_tokens_ = 0;
  uint32_t max_output_tokens_ = 0;
  uint32_t expected_output_tokens_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_REQUEST_FACTS_H_
