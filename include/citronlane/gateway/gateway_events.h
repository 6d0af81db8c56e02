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

/// Hooks for metrics, called from any of the gateway's threads. All are
/// optional.
struct GatewayEvents {
  /// A request was refused, or failed after it was admitted.
  std::function<void(const RefusalEntry&, bool admitted)> on_refusal_;
  /// This many refusals were dropped before they reached the journal.
  std::function<void(uint64_t)> on_unrecorded_;
  /// An admitted request has ended.
  std::function<void(const RequestSummary&)> on_request_;
  /// A stage call to the pool ended after `tokens` tokens.
  std::function<void(std::string_view pool, CallOutcome, uint32_t tokens)>
      on_call_;
  /// A stage call to the pool is about to be repeated.
  std::function<void(std::string_view pool, RetryReason)> on_retry_;
  /// A hedge to the pool ended; `won` if its result was used.
  std::function<void(std::string_view pool, bool won)> on_hedge_;
  /// A result was discarded; `why` is "late", "wrong_id", "duplicate_token" or
  /// "stream_gap".
  std::function<void(std::string_view pool, std::string_view why)> on_drop_;
  /// A request could not be parsed.
  std::function<void(RefusalReason)> on_unread_;
  /// A caller's connection was closed because others needed its place; see
  /// HttpListenerHooks::place_lost_.
  std::function<void(std::string_view phase)> on_place_lost_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_EVENTS_H_
