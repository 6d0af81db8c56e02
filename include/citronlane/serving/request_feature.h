#ifndef CITRONLANE_SERVING_REQUEST_FEATURE_H_
#define CITRONLANE_SERVING_REQUEST_FEATURE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace citronlane {

/// A property of requests that may make all of them crash backend servers.
struct RequestFeature {
  enum class Kind : uint8_t {
    /// The request as a whole.
    kContent,
    /// A prompt segment that requests with other contents have, too.
    kPromptSegment,
  };

  /// Digest of the content, or id of the segment.
  std::string id_;
  /// Size of the body, for kContent only.
  uint64_t body_bytes_ = 0;
  Kind kind_ = Kind::kContent;

  bool operator==(const RequestFeature& other) const {
    return kind_ == other.kind_ && id_ == other.id_ &&
           body_bytes_ == other.body_bytes_;
  }
  bool operator<(const RequestFeature& other) const {
    return std::tie(kind_, id_, body_bytes_) <
           std::tie(other.kind_, other.id_, other.body_bytes_);
  }
};

/// Name of the kind for log lines and replies to operators.
constexpr std::string_view ToString(RequestFeature::Kind kind) {
  return kind == RequestFeature::Kind::kContent ? "content" : "prompt segment";
}

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_REQUEST_FEATURE_H_
