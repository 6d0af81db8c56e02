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
#include "citronlane/fleet/config_spread.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/pool_part.h"
#include "citronlane/fleet/pooled_service.h"
#include "citronlane/fleet/recent_documents.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

class EventLog;
class FleetState;
class FrameChannel;

namespace wire::fleet {
class ConfigHeld;
class WatchRequest;
class WatchUpdate;
}  // namespace wire::fleet

/// What a control VM tells the gateways that watch it: the configuration, the
/// list of backend servers, and the other gateways. A VM that does not lead
/// only says who does. On the event loop's thread.
class GatewayFeed {
 public:
  /// Who leads, in internal endpoints.
  struct Leadership {
    bool leads_ = false;
    /// Empty when not known.
    std::string leader_;
    std::vector<std::string> members_;
    uint64_t term_ = 0;
  };
  using LeadershipHook = std::function<Leadership()>;
  /// Services for which gateways decide: those that have a stage pool or
  /// engines by the configuration.
  using PoolsHook = std::function<std::vector<PooledService>()>;

  /// `state` and `log` outlive the feed.
  GatewayFeed(const FleetState* state,
              EventLog* log,
              LeadershipHook leadership,
              PoolsHook pools);
  ~GatewayFeed();
  GatewayFeed(const GatewayFeed&) = delete;
  GatewayFeed& operator=(const GatewayFeed&) = delete;

  /// A gateway asks to be kept up to date, or says something new of itself.
  void Watch(const std::shared_ptr<FrameChannel>& channel,
             const wire::fleet::WatchRequest& request,
             TimePoint now);
  /// A gateway has taken the configuration that it was sent last.
  void ConfirmConfig(const FrameChannel* channel,
                     const wire::fleet::ConfigHeld& held,
                     TimePoint now);
  void Closed(const FrameChannel* channel);

  /// A whole list was read at `now`; `unusable` more entries named no server.
  void SetServers(std::vector<BackendServer> servers,
                  size_t unusable,
                  TimePoint now);
  /// This node began to lead: what it knows of servers and gateways is old.
  void StartLeading(TimePoint now);

  /// Sends everybody what is new, and a sign of life. Call at each change and
  /// every 200 ms.
  void PushAll(TimePoint now);

  size_t gateways() const { return watchers_.size(); }
  /// Whether all gateways that watch hold this version or a later one. Those
  /// that have left an update unconfirmed for long do not count: nobody waits
  /// for one that is cut off.
  bool IsHeldByAll(uint64_t version, TimePoint now) const;
  /// Of the newest version among the gateways that watch here.
  ConfigSpread Spread() const;

 private:
  struct Watcher;

  void UpdateAssignment(TimePoint now);
  std::vector<PoolPart> Parts() const;
  void Push(Watcher* watcher, TimePoint now);
  void NoteConfig(TimePoint now);
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
  /// When the newest of them was known here.
  TimePoint config_since_;
  /// What was logged of the newest one.
  bool logged_everywhere_ = false;
  bool logged_late_ = false;
  std::vector<BackendServer> servers_;
  size_t unusable_ = 0;
  std::optional<TimePoint> servers_read_;
  uint64_t servers_number_ = 0;
  uint64_t gateways_number_ = 0;
  TimePoint leading_since_;
  PoolAssignment assignment_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_GATEWAY_FEED_H_
