#ifndef CITRONLANE_SERVING_REQUEST_HEAD_H_
#define CITRONLANE_SERVING_REQUEST_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/serving/prompt_part.h"

namespace citronlane {

/// What a caller's headers say, beyond what HTTP itself needs.
struct RequestHead {
  /// One attempt of a caller; empty when it gave none.
  std::string request_id_;
  std::string host_;
  /// How long the caller waits from now on.
  std::optional<Duration> time_left_;
  std::string account_key_;
  /// Pieces of each stage, 0 for a stage that is left out.
  std::vector<uint32_t> stage_pieces_;
  std::string stage_key_;
  /// Parts of the prompt in order; the last one is the request's own.
  std::vector<PromptPart> prompt_;
  uint32_t prompt_tokens_ = 0;
  uint32_t most_output_tokens_ = 0;
  /// The caller's estimate; 0 when it gave none.
  uint32_t expected_output_tokens_ = 0;
  /// Number of the last event that the caller has of this stream.
  std::optional<uint64_t> last_event_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_REQUEST_HEAD_H_
