#ifndef CITRONLANE_RELAY_DETAIL_GATEWAY_HOST_IMPL_H_
#define CITRONLANE_RELAY_DETAIL_GATEWAY_HOST_IMPL_H_

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/fleet/load_meter.h"
#include "citronlane/net/frame_listener.h"
#include "citronlane/net/server_list_reader.h"
#include "citronlane/observe/listener_events.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/relay/config_receiver.h"
#include "citronlane/relay/control_watch.h"
#include "citronlane/relay/crash_watch.h"
#include "citronlane/relay/engine_placement.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/gateway_host.h"
#include "citronlane/relay/gateway_limits.h"
#include "citronlane/relay/limit_watch.h"
#include "citronlane/relay/origin_watch.h"
#include "citronlane/relay/peer_gateways.h"
#include "citronlane/relay/reach_watch.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_service.h"
#include "citronlane/relay/repeat_log.h"
#include "citronlane/relay/service_router.h"
#include "citronlane/relay/stage_owners.h"
#include "citronlane/relay/stage_pool.h"
#include "citronlane/routing/cold_servers.h"
#include "citronlane/routing/repeat_budget.h"
#include "citronlane/routing/server_limits.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/stage_client.h"

namespace citronlane {

namespace wire::fleet {
class ConfigUpdate;
class WatchUpdate;
}  // namespace wire::fleet

/// Implementation of GatewayHost: connects the modules of a gateway. Used on
/// the event loop's thread.
class GatewayHost::Impl {
 public:
  Impl(NodeSettings settings,
       SettingsHook read_settings,
       const Dialect* dialect,
       EventLog* log);

  bool Run(Error* error);

 private:
  /// Time after which every gateway has received a change: control sends
  /// updates every 200 ms.
  static constexpr auto kPropagationTime = std::chrono::milliseconds(260);
  /// Resolution at which silent owners, late stage calls and the watch are
  /// checked.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

  bool Listen(HttpListener* listener, const std::string& address, Error* error);
  RelayContext MakeContext();

  // gateway_host_hooks.cc: what the listeners and modules call.
  HttpListenerHooks CallerHooks();
  HttpListenerHooks ForwardedHooks();
  HttpListenerHooks ReadyHooks();
  HttpListenerHooks MetricsHooks();
  /// Sets the hooks for requests that are refused unread and for connections
  /// that are closed for others: both are counted and logged.
  void SetRefusalHooks(const std::string& listener, HttpListenerHooks* hooks);
  ControlWatch::Hooks WatchHooks();
  CrashWatch::Hooks CrashHooks();
  LimitWatch::Hooks LimitHooks();
  OriginWatch::Hooks OriginHooks();
  ReachWatch::Hooks ReachHooks();

  /// A request was refused or left unread.
  void NoteUnread(std::string_view listener, RefusalReason reason);

  void ApplyLimits();

  // gateway_host_pools.cc: routers, budgets and pools of services and
  // partitions.
  ServiceRouter* RouterOf(const Service& service);
  ServiceRouter* EngineRouterOf(const std::string& service);
  /// Logs and counts what the service's router learns.
  EngineRouter::Observer RouterObserver(const std::string& service);
  void SetSpeedMetrics(TimePoint now);
  /// For the calls of requests to servers of a service.
  RepeatBudget* BudgetOf(const std::string& service);
  /// For tasks that this gateway submits again to the owners of a stage pool.
  RepeatBudget* TaskBudgetOf(const std::string& service);
  RepeatBudget* FindBudget(
      std::map<std::string, std::unique_ptr<RepeatBudget>>* budgets,
      const std::string& service,
      const RepeatBudget::Options& options);
  /// The process ends soon: another one may follow it.
  void EndRepeatShares();
  /// Logs and counts what was sent again, by service.
  void NoteRepeats(TimePoint now);
  StagePool* PoolOf(const PoolPartition& partition);
  bool BelongsElsewhere(const PoolPartition& partition) const;
  void HandBackMovedPools(TimePoint now);

  // gateway_host_load.cc: how much of this VM is in use.
  size_t CountOwned() const;
  void SampleLoad(TimePoint now);

  // gateway_host_feed.cc: updates from control and the platform's server list.
  void TakeUpdate(wire::fleet::WatchUpdate* update);
  void TakeConfig(const wire::fleet::ConfigUpdate& update);
  void TakeServers(std::vector<BackendServer> servers,
                   size_t unusable,
                   TimePoint read);
  void TakeOwners(uint64_t number, PoolAssignment::Owners owners);
  void TakeDrained(DrainedDomains::Names domains);
  /// A server, by the id of its incarnation, says that it leaves.
  void NoteLeaving(const std::string& server);
  /// The servers of the view, or their states, have changed.
  void ServersChanged();
  void UpdateColdServers();
  /// For the bounds on calls to brittle servers.
  void UpdateGatewaysOfServers();
  void UpdateRoomOfServers();
  void NoteUnusable(size_t unusable);
  void ReadStaleList(TimePoint now);
  void Reload();

  void Tick(TimePoint now);
  void Stop();
  void TickStop(TimePoint now);
  bool IsReady() const { return view_.config() != nullptr && !stopping_; }

  const NodeSettings settings_;
  const SettingsHook read_settings_;
  const Dialect* const dialect_;
  EventLog* const log_;
  const GatewayLimits limits_of_vm_;
  const RepeatBudget::Options budget_options_;
  /// Those of a stage pool: the gateways that submit its tasks and the owner
  /// that runs them have half of its budget each.
  const RepeatBudget::Options pool_budget_options_;
  const TimePoint started_ = SteadyNow();

  boost::asio::io_context io_{1};
  std::mt19937_64 random_{std::random_device()()};
  Metrics metrics_;
  const ListenerEvents listener_events_;
  RepeatLog repeat_log_;
  TimePoint repeats_noted_;
  FleetView view_;
  ConfigReceiver received_config_;
  StageClient client_;
  ServerListReader list_reader_;
  std::map<std::string, std::unique_ptr<ServiceRouter>> routers_;
  std::map<std::string, std::unique_ptr<RepeatBudget>> budgets_;
  std::map<std::string, std::unique_ptr<RepeatBudget>> task_budgets_;
  std::map<PoolPartition, std::unique_ptr<StagePool>> pools_;
  /// Number of the owners known last, and when they became known.
  uint64_t owners_number_ = 0;
  TimePoint owners_since_;
  StageOwners owners_;
  ServerLimits server_limits_;
  ColdServers cold_servers_;
  /// Cold servers of the last log line.
  std::string logged_cold_;
  LimitWatch limits_;
  ReachWatch reach_;
  EnginePlacement engines_;
  PeerGateways peers_;
  CrashWatch crashes_;
  OriginWatch origins_;
  RelayContext context_;
  RelayService relay_;
  ControlWatch watch_;
  FrameListener internal_;
  HttpListener callers_;
  HttpListener forwarded_;
  HttpListener ready_;
  HttpListener metrics_listener_;
  TimePoint next_list_read_;
  bool list_is_stale_ = false;
  size_t unusable_servers_ = 0;
  bool stopping_ = false;
  bool accepting_ = true;
  LoadMeter load_meter_;
  TimePoint load_reported_;
  /// Whether control has told capacities of gateways: an earlier version would
  /// send all lists again at each report.
  bool control_takes_load_ = false;
  TimePoint stop_began_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_DETAIL_GATEWAY_HOST_IMPL_H_
