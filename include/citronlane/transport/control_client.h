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

namespace wire::fleet {
class CrashReports;
}  // namespace wire::fleet

/// A gateway's connection to the control VMs: watches the configuration at one
/// of them, renews the lease on it at a majority, and sends claims and reports
/// to the leader. Thread safe, except Start and Stop, which must be called by
/// one thread.
class ControlClient {
 public:
  using ClaimDone = std::function<void(ClaimAnswer)>;
  /// Called with whether the control quorum has stored it.
  using Done = std::function<void(bool)>;

  ControlClient(const ControlClientOptions& options, ControlClientHooks hooks);
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  /// Starts the threads and returns immediately. Call once.
  void Start();

  /// Completes pending calls as unavailable and ends the threads. No hook is
  /// called after it has returned, and calls made later fail immediately. May
  /// be called again.
  void Stop();

  /// Claims a key. `done` is called once, from any thread; before Claim returns
  /// if the client is stopped or has too many pending calls. Only one call gets
  /// kGranted; further calls for the key, also through this client, get
  /// kRunning until Finish or Release.
  void Claim(const ClaimQuery& query, ClaimDone done);

  /// Stores the answer of a claim. `done` is called once, from any thread,
  /// after ControlClientOptions::finish_timeout_ at the latest; storing is
  /// retried in the background after that. Fails immediately, without a retry,
  /// if there are too many pending calls. Precondition: Claim returned kGranted
  /// for this key, and neither Finish nor Release was called since.
  void Finish(const ClaimQuery& query, const StoredAnswer& answer, Done done);

  /// Releases a claim. Otherwise as Finish. Precondition: as for Finish, and
  /// nothing of the request ran.
  void Release(const ClaimQuery& query, Done done);

  /// Sends refusals, and the number dropped, to the journal and waits for the
  /// reply, at most ControlClientOptions::claim_timeout_. Returns whether they
  /// were recorded. A batch may be sent again, since the journal keeps one
  /// record per id. Precondition: Start was called; not called by a hook.
  bool ReportRefusals(const std::vector<RefusalEntry>& refusals,
                      uint64_t dropped);

  /// Reports with the next report that a backend server is draining.
  void ReportLeaving(std::string_view server, uint64_t incarnation);
  /// Reports with the next report that backend servers crashed or survived.
  void ReportCrashes(const wire::fleet::CrashReports& reports);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONTROL_CLIENT_H_
