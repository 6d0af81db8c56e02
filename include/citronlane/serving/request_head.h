#ifndef CITRONLANE_SERVING_REQUEST_HEAD_H_
#define CITRONLANE_SERVING_REQUEST_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/serving/prompt_segment.h"

namespace citronlane {

/// Contents of a caller's headers, beyond those that HTTP itself needs.
struct RequestHead {
  /// Identifies one attempt of a caller; empty when missing.
  std::string request_id_;
  std::string host_;
  /// How long the caller waits, counted from now.
  std::optional<Duration> time_left_;
  std::string account_key_;
  /// Number of pieces of each stage; 0 for a stage that is skipped.
  std::vector<uint32_t> stage_pieces_;
  std::string stage_key_;
  /// Segments of the prompt in order; the last one belongs to this request
  /// alone.
  std::vector<PromptSegment> prompt_;
  uint32_t prompt_tokens_ = 0;
  uint32_t max_output_tokens_ = 0;
  /// The caller's estimate; 0 when missing.
  uint32_t expected_output_tokens_ = 0;
  /// Number of the last event of this stream that the caller has.
  std::optional<uint64_t> last_event_;
  /// Id of the attempt that brought the first event of the stream that the
  /// caller takes up; empty when it names none.
  std::string resumed_attempt_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_REQUEST_HEAD_H_
