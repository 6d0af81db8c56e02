#ifndef CITRONLANE_TRANSPORT_REPLY_MEMORY_H_
#define CITRONLANE_TRANSPORT_REPLY_MEMORY_H_

#include <cstdint>

#include "citronlane/transport/stage_limits.h"

namespace citronlane {

/// Bounds the memory of replies that are kept until they are whole: each by
/// StageLimits::reply_body_bytes_, all together by total_reply_bytes_. Replies
/// below a small size count in no total, so that large ones do not exclude
/// them. Not thread safe.
class ReplyMemory {
 public:
  explicit ReplyMemory(const StageLimits& limits);

  /// Changes the bytes held for one reply from `held` to `wanted`. Returns
  /// false, without a change, if that exceeds a limit.
  bool Resize(uint64_t held, uint64_t wanted);

  /// Bytes held for all replies that are not small.
  uint64_t held_bytes() const { return held_bytes_; }

 private:
  const uint64_t reply_bytes_;
  const uint64_t total_bytes_;
  uint64_t held_bytes_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLY_MEMORY_H_
