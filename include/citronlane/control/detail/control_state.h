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
#include "citronlane/control/detail/gateway_sighting.h"
#include "citronlane/control/replica_status.h"
#include "citronlane/fleet/in_force_status.h"
#include "citronlane/fleet/in_force_tracker.h"
#include "citronlane/state/state_machine.h"
#include "citronlane/state/unapplied_log.h"
#include "citronlane/transport/config_feed.h"

namespace citronlane {

struct ClusterConfig;

/// The replicated state of one control VM with what hangs on it: the feed to
/// the watchers, the answers to lease renewals, and who has which version in
/// force. Thread safe.
class ControlState {
 public:
  using LogHook = std::function<void(std::string_view)>;

  ControlState(Duration config_lease, size_t max_watchers, LogHook log);

  /// Hooks of the Replica.
  std::string Apply(uint64_t index, std::string_view payload);
  void OnAppended(uint64_t index, std::string_view payload);
  void OnTruncated(uint64_t index);
  std::string TakeSnapshot() const;
  void InstallSnapshot(std::string_view data);

  /// Runs `view` while nothing changes; it must be short.
  void View(const std::function<void(const StateMachine&)>& view) const;

  /// Whether a snapshot was damaged; nothing here is to be trusted then.
  bool is_broken() const;

  /// Answers a lease renewal and notes what the gateway reports. `status` must
  /// have been read after the question arrived.
  wire::LeaseReply RenewLease(const wire::LeaseRequest& request,
                              const ReplicaStatus& status);

  ConfigFeed::Stream* OpenWatch(uint64_t version);
  ConfigFeed& feed() { return feed_; }

  /// The configuration applied here; never null, empty at version 0.
  std::shared_ptr<const ClusterConfig> config() const;

  InForceStatus StatusOf(uint64_t version) const;
  /// Waits until the version is in force everywhere or `until` has come.
  InForceStatus WaitInForce(uint64_t version, TimePoint until) const;

  /// By gateway name.
  std::map<std::string, GatewaySighting> sightings() const;

 private:
  void Tell(const StateEffects& effects);
  wire::ConfigUpdate CatchUp(uint64_t version) const;
  void ReadConfig();
  void AddServer(const std::string& server, wire::ConfigUpdate* update) const;
  void SeeRegistered(const std::string& gateway,
                     uint64_t incarnation,
                     TimePoint now);
  void Note(const wire::LeaseRequest& request);
  void AddPeers(const wire::LeaseRequest& request,
                wire::LeaseReply* reply) const;

  const LogHook log_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  StateMachine state_;
  UnappliedLog unapplied_;
  InForceTracker tracker_;
  bool is_broken_ = false;
  std::map<std::string, GatewaySighting> sightings_;
  std::shared_ptr<const ClusterConfig> config_;
  ConfigFeed feed_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_STATE_H_
