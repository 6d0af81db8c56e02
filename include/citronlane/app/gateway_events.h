#ifndef CITRONLANE_APP_GATEWAY_EVENTS_H_
#define CITRONLANE_APP_GATEWAY_EVENTS_H_

#include <functional>
#include <string_view>

#include "citronlane/app/refusal_entry.h"
#include "citronlane/app/request_summary.h"
#include "citronlane/base/time.h"
#include "citronlane/request/retry_reason.h"
#include "citronlane/routing/call_outcome.h"

namespace citronlane {

/// What a gateway reports to metrics, from any of its threads. A missing hook
/// is not called.
struct GatewayEvents {
  /// A request was refused, or failed after it was admitted.
  std::function<void(const RefusalEntry&)> on_refusal_;
  /// An admitted request is over.
  std::function<void(const RequestSummary&)> on_request_;
  /// A stage call of the pool ended, `latency` after its start.
  std::function<void(std::string_view pool, CallOutcome, Duration latency)>
      on_call_;
  /// A stage call of the pool is made once more.
  std::function<void(std::string_view pool, RetryReason)> on_retry_;
};

}  // namespace citronlane

#endif  // CITRONLANE_APP_GATEWAY_EVENTS_H_
