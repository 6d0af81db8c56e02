#ifndef CITRONLANE_CONTROL_DETAIL_CONTROL_STATE_H_
#define CITRONLANE_CONTROL_DETAIL_CONTROL_STATE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/control/detail/gateway_observation.h"
#include "citronlane/control/replica_status.h"
#include "citronlane/fleet/in_force_status.h"
#include "citronlane/fleet/in_force_tracker.h"
#include "citronlane/state/state_machine.h"
#include "citronlane/state/unapplied_log.h"
#include "citronlane/transport/config_feed.h"

namespace citronlane {

struct ClusterConfig;

/// The replicated state of one control VM with what depends on it: the feed to
/// watching gateways, the replies to lease renewals, and the version that each
/// gateway has in force. Thread safe.
class ControlState {
 public:
  using LogHook = std::function<void(std::string_view)>;

  ControlState(Duration config_lease, size_t max_watchers, LogHook log);

  /// Hooks of the Replica; see ReplicaHooks.
  std::string Apply(uint64_t index, std::string_view payload);
  void OnAppended(uint64_t index, std::string_view payload);
  void OnTruncated(uint64_t index);
  std::string TakeSnapshot() const;
  void InstallSnapshot(std::string_view data);

  /// Runs `view` under the lock. It must be short and call nothing of this
  /// object.
  void View(const std::function<void(const StateMachine&)>& view) const;

  /// Whether a damaged snapshot was received; the state must not be used then.
  bool is_broken() const;

  /// Returns the reply to a lease renewal and records what the gateway reports.
  /// `status` must have been read after the request arrived.
  wire::LeaseReply RenewLease(const wire::LeaseRequest& request,
                              const ReplicaStatus& status);

  /// Opens a watch stream for a gateway that holds `version`; see
  /// ConfigFeed::Open.
  ConfigFeed::Stream* OpenWatch(uint64_t version);
  ConfigFeed& feed() { return feed_; }

  /// Returns the configuration applied here; never null, empty at version 0.
  std::shared_ptr<const ClusterConfig> config() const;

  InForceStatus StatusOf(uint64_t version) const;
  /// Blocks until the version is in force on all gateways or until `until`.
  InForceStatus WaitInForce(uint64_t version, TimePoint until) const;

  /// Returns the last observation of each gateway, by name.
  std::map<std::string, GatewayObservation> observations() const;

 private:
  void PublishEffects(const StateEffects& effects);
  wire::ConfigUpdate CatchUp(uint64_t version) const;
  void ParseConfig();
  void AddServer(const std::string& server, wire::ConfigUpdate* update) const;
  void RecordRegistration(const std::string& gateway,
                          uint64_t incarnation,
                          TimePoint now);
  void RecordLeaseRequest(const wire::LeaseRequest& request);
  void AddPeers(const wire::LeaseRequest& request,
                wire::LeaseReply* reply) const;

  const LogHook log_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  StateMachine state_;
  UnappliedLog unapplied_;
  InForceTracker tracker_;
  bool is_broken_ = false;
  std::map<std::string, GatewayObservation> observations_;
  std::shared_ptr<const ClusterConfig> config_;
  ConfigFeed feed_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_STATE_H_
