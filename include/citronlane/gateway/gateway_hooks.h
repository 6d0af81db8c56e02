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

/// What a gateway needs from the rest of the process. Every hook may be called
/// from any of its threads at once. A missing hook means: not there (no
/// metrics text, no logs, claims unavailable, refusals only logged).
struct GatewayHooks {
  /// Takes one log line without its end.
  std::function<void(std::string_view)> log_;
  /// Returns the text for /metrics.
  std::function<std::string()> metrics_text_;
  /// Claims a key at the control quorum; answers once, from any thread.
  std::function<void(const ClaimQuery&, std::function<void(ClaimAnswer)>)>
      claim_;
  /// Stores the answer of a claimed key. `done` is called once, with whether
  /// the quorum has it.
  std::function<
      void(const ClaimQuery&, const StoredAnswer&, std::function<void(bool)>)>
      finish_claim_;
  /// Gives a claimed key back; called only when nothing ran.
  std::function<void(const ClaimQuery&, std::function<void(bool)>)>
      release_claim_;
  /// Sends refusals to the journal, with the number dropped since the last
  /// call. Returns whether control has them.
  std::function<bool(const std::vector<RefusalEntry>&, uint64_t)>
      report_refusals_;
  /// Tells control that a backend server says it is leaving; incarnation 0
  /// when it is not known.
  std::function<void(std::string_view server, uint64_t incarnation)>
      report_leaving_;
  GatewayEvents events_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_HOOKS_H_
