#ifndef CITRONLANE_CONTROL_GATEWAY_FEED_H_
#define CITRONLANE_CONTROL_GATEWAY_FEED_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/control/limit_feed.h"
#include "citronlane/control/pool_feed.h"
#include "citronlane/control/suspect_feed.h"
#include "citronlane/fleet/config_propagation.h"
#include "citronlane/fleet/pooled_service.h"
#include "citronlane/fleet/recent_documents.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

class EventLog;
class FleetState;
class FrameChannel;

namespace wire::fleet {
class ConfigHeld;
class CrashReports;
class ServerLimits;
class WatchRequest;
class WatchUpdate;
}  // namespace wire::fleet

/// Sends updates to the gateways that watch this control VM: the configuration,
/// the list of backend servers, the drained failure domains, the other gateways
/// and the owners of pools. A VM that does not lead sends the leader's address,
/// a configuration only to a gateway that has none, and the other gateways only
/// while no leader is known. Runs on the event loop's thread.
class GatewayFeed {
 public:
  /// The known leadership; addresses are internal endpoints.
  struct Leadership {
    bool leads_ = false;
    /// The leader's endpoint; empty when not known.
    std::string leader_;
    std::vector<std::string> members_;
    uint64_t term_ = 0;
  };
  using LeadershipHook = std::function<Leadership()>;
  /// Returns the services whose backend servers gateways assign work to: those
  /// with a stage pool or engines in the configuration.
  using PoolsHook = std::function<std::vector<PooledService>()>;

  /// `state` and `log` must outlive the feed.
  GatewayFeed(const FleetState* state,
              EventLog* log,
              LeadershipHook leadership,
              PoolsHook pools);
  ~GatewayFeed();
  GatewayFeed(const GatewayFeed&) = delete;
  GatewayFeed& operator=(const GatewayFeed&) = delete;

  /// Starts to send updates to a gateway, or updates what it reported of
  /// itself. Immediately sends it everything that it lacks.
  void Watch(const std::shared_ptr<FrameChannel>& channel,
             const wire::fleet::WatchRequest& request,
             TimePoint now);
  /// Records the configuration version that a gateway holds after the last
  /// configuration sent to it.
  void ConfirmConfig(const FrameChannel* channel,
                     const wire::fleet::ConfigHeld& held,
                     TimePoint now);
  /// Takes a gateway's reports of crashes of backend servers. If a request is
  /// blocked or unblocked by them, tells all gateways.
  void TakeCrashes(const wire::fleet::CrashReports& reports, TimePoint now);
  /// Takes limits of backend servers that a gateway observed; the others are
  /// told by the next PushAll.
  void TakeLimits(const wire::fleet::ServerLimits& limits, TimePoint now);
  /// Lifts all blocks; crashes so far no longer count. Tells all gateways.
  void ClearSuspects(TimePoint now);
  /// Requests that are blocked, or that one more crash may block.
  const std::vector<SuspectRequest>& Suspects() const {
    return suspects_.Listed();
  }
  /// Removes the gateway of a closed channel.
  void OnClosed(const FrameChannel* channel);

  /// Replaces the list of backend servers, read completely at `now`. `unusable`
  /// is the number of further entries of the list that could not be used.
  void SetServers(std::vector<BackendServer> servers,
                  size_t unusable,
                  TimePoint now);
  /// Call when this node becomes the leader: the server list counts as not
  /// read, and both lists are sent to every gateway again.
  void StartLeading(TimePoint now);

  /// Sends every gateway what changed, and a keepalive. Call at each change and
  /// every 200 ms.
  void PushAll(TimePoint now);

  /// Number of requests, by content, that no backend server may get.
  size_t CountBlocked(TimePoint now) const {
    return suspects_.CountBlocked(now);
  }
  /// Whether a listed backend server is in the failure domain.
  bool HasServers(std::string_view failure_domain) const;
  size_t gateways() const { return watchers_.size(); }
  /// Whether all watching gateways hold this version or a later one. A gateway
  /// that has left an update unconfirmed for 1.2 s is ignored: it is assumed to
  /// be disconnected.
  bool IsHeldByAll(uint64_t version, TimePoint now) const;
  /// Propagation of the newest version among the watching gateways.
  ConfigPropagation Propagation() const;

 private:
  struct Watcher;

  void UpdatePoolAssignment(TimePoint now);
  void Push(Watcher* watcher, TimePoint now);
  void RecordNewestConfig(TimePoint now);
  void AddConfig(Watcher* watcher,
                 bool leads,
                 TimePoint now,
                 wire::fleet::WatchUpdate* update);
  void LogConfigProgress(TimePoint now);
  void AddGateways(Watcher* watcher,
                   bool is_gathering,
                   wire::fleet::WatchUpdate* update) const;

  const FleetState* const state_;
  EventLog* const log_;
  const LeadershipHook leadership_;
  const PoolsHook pools_;
  std::map<const FrameChannel*, std::unique_ptr<Watcher>> watchers_;
  RecentDocuments documents_;
  /// When the newest version became known to this VM.
  TimePoint config_since_;
  /// Which progress events of the newest version were logged.
  bool logged_complete_ = false;
  bool logged_late_ = false;
  std::vector<BackendServer> servers_;
  size_t unusable_ = 0;
  std::optional<TimePoint> servers_read_;
  uint64_t servers_number_ = 0;
  uint64_t gateways_number_ = 0;
  TimePoint leading_since_;
  PoolFeed pool_feed_;
  SuspectFeed suspects_;
  LimitFeed limits_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_GATEWAY_FEED_H_
