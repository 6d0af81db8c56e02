#include "citronlane/transport/reply_memory.h"

#include <algorithm>

namespace citronlane {
namespace {

/// Replies up to this size count in no total.
constexpr uint64_t kSmallReplyBytes = uint64_t{64} << 10;

uint64_t Counted(uint64_t bytes) {
  return bytes > kSmallReplyBytes ? bytes : 0;
}

}  // namespace

// One reply of maximum size is always accepted, even if the total is lower.
ReplyMemory::ReplyMemory(const StageLimits& limits)
    : reply_bytes_(limits.reply_body_bytes_),
      total_bytes_(
          std::max(limits.total_reply_bytes_, limits.reply_body_bytes_)) {}

bool ReplyMemory::Resize(uint64_t held, uint64_t wanted) {
  const uint64_t others = held_bytes_ - Counted(held);
  const bool grows = wanted > held;
  if (grows && (wanted > reply_bytes_ ||
                (Counted(wanted) > 0 && others + wanted > total_bytes_))) {
    return false;
  }
  held_bytes_ = others + Counted(wanted);
  return true;
}

}  // namespace citronlane
