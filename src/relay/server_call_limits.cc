#include "citronlane/relay/server_call_limits.h"

#include <chrono>

namespace citronlane {
namespace {

/// Memory divided by the bytes of replies that are kept until they are whole.
/// Each is copied once when it is sent.
constexpr uint64_t kReplyMemoryDivisor = 8;
/// Bytes of all kept replies divided by those of the largest one.
constexpr uint64_t kLargestReplyDivisor = 4;
/// Maximum size of a stream. It is passed on and not kept; until its deadline
/// it may be long.
constexpr uint64_t kMaxStreamBytes = uint64_t{1} << 30;

}  // namespace

StageLimits ServerCallLimits(uint32_t memory_mb) {
  StageLimits limits;
  limits.total_reply_bytes_ = (uint64_t{memory_mb} << 20) / kReplyMemoryDivisor;
  limits.reply_body_bytes_ = limits.total_reply_bytes_ / kLargestReplyDivisor;
  limits.stream_bytes_ = kMaxStreamBytes;
  limits.read_timeout_ = std::chrono::seconds(30);
  // Servers limit the connections of all gateways together.
  limits.idle_connections_ = 4;
  // Shorter than servers usually keep idle connections.
  limits.idle_timeout_ = std::chrono::seconds(4);
  return limits;
}

}  // namespace citronlane
