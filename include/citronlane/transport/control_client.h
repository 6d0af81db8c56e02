#ifndef CITRONLANE_TRANSPORT_CONTROL_CLIENT_H_
#define CITRONLANE_TRANSPORT_CONTROL_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "citronlane/gateway/claim_answer.h"
#include "citronlane/gateway/claim_query.h"
#include "citronlane/gateway/refusal_entry.h"
#include "citronlane/gateway/stored_answer.h"
#include "citronlane/transport/control_client_hooks.h"
#include "citronlane/transport/control_client_options.h"

namespace citronlane {

/// A gateway's connection to the control VMs: watches the configuration at one
/// of them, renews its lease at all voters, claims at the leader. Thread safe,
/// but Start and Stop, which one thread calls.
class ControlClient {
 public:
  using ClaimDone = std::function<void(ClaimAnswer)>;
  /// Whether the control quorum has it.
  using Done = std::function<void(bool)>;

  ControlClient(const ControlClientOptions& options, ControlClientHooks hooks);
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  /// Starts the threads; returns at once. Call once.
  void Start();

  /// Answers what waits as unavailable and ends the threads. May be called
  /// twice. No hook or `done` is called after it returned.
  void Stop();

  /// Claims a key. `done` is called once, from a thread of the client.
  /// kGranted is given to one call only; later calls for the key, here too,
  /// get kRunning until Finish or Release.
  void Claim(const ClaimQuery& query, ClaimDone done);

  /// Stores the answer of a claim granted here. Precondition: Claim gave
  /// kGranted for this key and neither Finish nor Release was called since.
  void Finish(const ClaimQuery& query, const StoredAnswer& answer, Done done);

  /// Gives the claim back; the same precondition, and nothing of the request
  /// ran.
  void Release(const ClaimQuery& query, Done done);

  /// Sends refusals to the journal and waits for the answer, at most
  /// `claim_timeout_`. Returns whether control has them. A batch may be sent
  /// again: the journal keeps one record for each id.
  bool ReportRefusals(const std::vector<RefusalEntry>& refusals,
                      uint64_t dropped);

  /// Tells control that this gateway sees a backend server leaving; goes with
  /// the next report.
  void ReportLeaving(std::string_view server, uint64_t incarnation);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONTROL_CLIENT_H_
