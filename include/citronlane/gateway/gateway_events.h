#ifndef CITRONLANE_GATEWAY_GATEWAY_EVENTS_H_
#define CITRONLANE_GATEWAY_GATEWAY_EVENTS_H_

#include <cstdint>
#include <functional>
#include <string_view>

#include "citronlane/gateway/refusal_entry.h"
#include "citronlane/gateway/request_summary.h"
#include "citronlane/request/retry_reason.h"
#include "citronlane/routing/call_outcome.h"

namespace citronlane {

/// What a gateway reports to metrics, from any of its threads. A missing hook
/// is not called.
struct GatewayEvents {
  /// A request was refused, or failed after it was admitted.
  std::function<void(const RefusalEntry&, bool admitted)> on_refusal_;
  /// Refusals were dropped before they reached the journal.
  std::function<void(uint64_t)> on_unrecorded_;
  /// An admitted request is over.
  std::function<void(const RequestSummary&)> on_request_;
  /// A stage call of the pool ended, with the tokens taken from it.
  std::function<void(std::string_view pool, CallOutcome, uint32_t tokens)>
      on_call_;
  /// A stage call of the pool is made once more.
  std::function<void(std::string_view pool, RetryReason)> on_retry_;
  /// A hedge of the pool ended, with whether its result was the first.
  std::function<void(std::string_view pool, bool won)> on_hedge_;
  /// A result was dropped: "late", "wrong_id", "duplicate_token" or
  /// "stream_gap".
  std::function<void(std::string_view pool, std::string_view why)> on_drop_;
  /// A caller's request could not be read.
  std::function<void(RefusalReason)> on_unread_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_EVENTS_H_
