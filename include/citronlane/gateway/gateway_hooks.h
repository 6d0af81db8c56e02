#ifndef CITRONLANE_GATEWAY_GATEWAY_HOOKS_H_
#define CITRONLANE_GATEWAY_GATEWAY_HOOKS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/gateway/claim_answer.h"
#include "citronlane/gateway/claim_query.h"
#include "citronlane/gateway/gateway_events.h"
#include "citronlane/gateway/refusal_entry.h"

namespace citronlane {

namespace wire::fleet {
class CrashReports;
}  // namespace wire::fleet

/// Functions of the process that a gateway calls. Hooks may be called from
/// several threads concurrently. All are optional: without them there is no
/// metrics text, no log, claims are unavailable and refusals are only logged.
struct GatewayHooks {
  /// Writes one log line, given without a line end.
  std::function<void(std::string_view)> log_;
  /// Returns the text for /metrics.
  std::function<std::string()> metrics_text_;
  /// Claims a key at the control quorum. The callback is called once, from any
  /// thread.
  std::function<void(const ClaimQuery&, std::function<void(ClaimAnswer)>)>
      claim_;
  /// Stores the answer of a claimed key. The callback is called once, from any
  /// thread, with whether the quorum has stored it.
  std::function<
      void(const ClaimQuery&, const StoredAnswer&, std::function<void(bool)>)>
      finish_claim_;
  /// Releases a claimed key; called only if nothing of the request ran.
  std::function<void(const ClaimQuery&, std::function<void(bool)>)>
      release_claim_;
  /// Sends refusals, and the number dropped since the last successful call, to
  /// the journal. Returns whether the control VMs have recorded them. May
  /// block.
  std::function<bool(const std::vector<RefusalEntry>&, uint64_t)>
      report_refusals_;
  /// Reports to the control VMs that a backend server is draining; incarnation
  /// 0 if unknown.
  std::function<void(std::string_view server, uint64_t incarnation)>
      report_leaving_;
  /// Reports to the control VMs that backend servers crashed or survived.
  std::function<void(const wire::fleet::CrashReports& reports)> report_crashes_;
  GatewayEvents events_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_HOOKS_H_
