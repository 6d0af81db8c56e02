#include "citronlane/relay/gateway_host.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/endpoint.h"
#include "citronlane/net/process_signals.h"
#include "citronlane/net/repeating_timer.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/detail/gateway_host_impl.h"
#include "citronlane/relay/server_call_limits.h"
#include "citronlane/serving/dialect.h"

namespace citronlane {
namespace {

/// Interval of reading the settings file, which may change without a signal.
constexpr Duration kSettingsInterval = std::chrono::seconds(2);
/// How long callers still arrive after a stop signal, until the load balancer
/// has noticed.
constexpr Duration kBalancerDrainTime = std::chrono::milliseconds(2600);
/// Requests in flight get a final response this long before the process would
/// be killed. Of a short grace period it is a part.
constexpr Duration kMaxGiveUpReserve = std::chrono::milliseconds(1000);
constexpr int kGiveUpDivisor = 8;
/// The process exits this part of the same time before it would be killed.
constexpr double kExitRatio = 0.4;

Duration GiveUpReserve(Duration grace) {
  return std::min(kMaxGiveUpReserve, grace / kGiveUpDivisor);
}

Duration ExitReserve(Duration grace) {
  return std::chrono::duration_cast<Duration>(GiveUpReserve(grace) *
                                              kExitRatio);
}

}  // namespace

GatewayHost::Impl::Impl(NodeSettings settings,
                        SettingsHook read_settings,
                        const Dialect* dialect,
                        EventLog* log)
    : settings_(std::move(settings)),
      read_settings_(std::move(read_settings)),
      dialect_(dialect),
      log_(log),
      limits_of_vm_(settings_.memory_mb_, settings_.UsableDescriptors()),
      budget_options_{settings_.repeat_ratio_, settings_.repeat_extra_,
                      settings_.repeat_window_},
      pool_budget_options_{settings_.repeat_ratio_ / 2,
                           settings_.repeat_extra_ / 2,
                           settings_.repeat_window_},
      metrics_(Metrics::kDefaultMaxSeries, 1),
      listener_events_("relay", log, &metrics_),
      repeat_log_(log, &metrics_),
      client_(&io_, ServerCallLimits(settings_.memory_mb_)),
      list_reader_(&client_, dialect, settings_.server_list_address_),
      owners_(
          &io_,
          settings_.internal_listen_,
          &view_,
          log,
          [this](const PoolPartition& partition) { return PoolOf(partition); },
          [this](const std::string& service) { return TaskBudgetOf(service); },
          [this] { return load_meter_.load().loop_lag_; }),
      server_limits_(settings_.internal_listen_),
      limits_(&server_limits_, log, LimitHooks()),
      reach_([this](uint64_t below) { return random_() % below; },
             log,
             ReachHooks()),
      engines_(&io_,
               &view_,
               settings_.internal_listen_,
               &limits_,
               log,
               [this](const std::string& service) {
                 return EngineRouterOf(service);
               }),
      peers_(settings_.internal_listen_,
             &view_,
             [this](uint64_t below) { return random_() % below; }),
      crashes_(log, CrashHooks()),
      origins_(log, OriginHooks()),
      context_(MakeContext()),
      relay_(&context_, limits_of_vm_.requests(), limits_of_vm_.pieces()),
      watch_(
          &io_,
          ControlWatch::Options{settings_.internal_listen_,
                                settings_.failure_domain_, settings_.seeds_,
                                settings_.relay_listen_, settings_.capacity_},
          log,
          WatchHooks()),
      internal_(&io_,
                settings_.internal_listen_,
                FrameListener::Hooks{
                    [this](const std::shared_ptr<FrameChannel>& channel,
                           wire::fleet::Frame* frame) {
                      if (!engines_.Take(channel, *frame)) {
                        owners_.Take(channel, frame);
                      }
                    },
                    [this](const FrameChannel* channel) {
                      owners_.Closed(channel);
                      engines_.Closed(channel);
                    },
                    [this](bool closed_silent) {
                      listener_events_.OnPeersFull(closed_silent);
                    }},
                limits_of_vm_.Peers()),
      callers_({&io_}, limits_of_vm_.Callers(CallerLimits()), CallerHooks()),
      forwarded_({&io_},
                 limits_of_vm_.Forwarded(CallerLimits()),
                 ForwardedHooks()),
      ready_({&io_}, limits_of_vm_.Monitoring(), ReadyHooks()),
      metrics_listener_({&io_}, limits_of_vm_.Monitoring(), MetricsHooks()),
      load_meter_(settings_.capacity_, kTickInterval) {}

RelayContext GatewayHost::Impl::MakeContext() {
  RelayContext context;
  context.io_ = &io_;
  context.dialect_ = dialect_;
  context.view_ = &view_;
  context.client_ = &client_;
  context.owners_ = &owners_;
  context.engines_ = &engines_;
  context.crashes_ = &crashes_;
  context.limits_ = &limits_;
  context.origins_ = &origins_;
  context.reach_ = &reach_;
  context.peers_ = &peers_;
  context.log_ = log_;
  context.metrics_ = &metrics_;
  context.router_ = [this](const Service& service) {
    return RouterOf(service);
  };
  context.budget_ = [this](const std::string& service) {
    return BudgetOf(service);
  };
  context.random_ = [this](uint64_t below) { return random_() % below; };
  return context;
}

void GatewayHost::Impl::ApplyLimits() {
  const CallerLimits& limits = view_.config()->limits();
  callers_.SetLimits(limits_of_vm_.Callers(limits));
  forwarded_.SetLimits(limits_of_vm_.Forwarded(limits));
}

bool GatewayHost::Impl::Listen(HttpListener* listener,
                               const std::string& address,
                               Error* error) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    error->message_ = "no address to listen on: " + address;
    return false;
  }
  return listener->Listen(endpoint->address().to_string(), endpoint->port(),
                          error);
}

bool GatewayHost::Impl::Run(Error* error) {
  if (!internal_.Start(error) ||
      !Listen(&callers_, settings_.caller_listen_, error) ||
      !Listen(&forwarded_, settings_.relay_listen_, error) ||
      !Listen(&ready_, settings_.ready_listen_, error) ||
      !Listen(&metrics_listener_, settings_.metrics_listen_, error)) {
    return false;
  }
  const ProcessSignals signals(
      &io_, ProcessSignals::Hooks{[this] { Stop(); }, [this] { Reload(); }});
  const RepeatingTimer tick(&io_, kTickInterval,
                            [this](TimePoint now) { Tick(now); });
  const RepeatingTimer reload(&io_, kSettingsInterval,
                              [this](TimePoint) { Reload(); });
  log_->Write("gateway", "started",
              {{"callers", settings_.caller_listen_},
               {"internal", settings_.internal_listen_},
               {"failure_domain", settings_.failure_domain_}});
  io_.run();
  log_->Write("gateway", "stopped",
              {{"in_hand", static_cast<uint64_t>(relay_.requests_in_flight())},
               {"log_lines_dropped", log_->dropped()}});
  return true;
}

void GatewayHost::Impl::Tick(TimePoint now) {
  SampleLoad(now);
  watch_.Tick(now);
  origins_.Tick();
  owners_.Tick(now);
  reach_.Tick();
  for (const auto& [partition, pool] : pools_) {
    pool->Tick(now);
  }
  HandBackMovedPools(now);
  ReadStaleList(now);
  NoteRepeats(now);
  if (stopping_) {
    TickStop(now);
  }
}

void GatewayHost::Impl::Stop() {
  stopping_ = true;
  stop_began_ = SteadyNow();
  log_->Write(
      "gateway", "stopping",
      {{"in_hand", static_cast<uint64_t>(relay_.requests_in_flight())}});
  relay_.SetStopDeadline(stop_began_ + settings_.grace_ -
                         GiveUpReserve(settings_.grace_));
  callers_.CloseAfterReplies();
  forwarded_.CloseAfterReplies();
  watch_.SetStopping();
  EndRepeatShares();
  // After this time the other gateways know that this one no longer owns pools.
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, kPropagationTime);
  timer->async_wait([this, timer](const boost::system::error_code&) {
    for (const auto& [partition, pool] : pools_) {
      pool->ReturnUnsentTasks();
    }
  });
}

void GatewayHost::Impl::TickStop(TimePoint now) {
  const Duration passed = now - stop_began_;
  // Whether the closing of idle connections, which is queued, has taken place:
  // any request that had arrived is counted as open after it.
  const bool has_closed_idle = !accepting_;
  if (accepting_ && passed >= kBalancerDrainTime) {
    accepting_ = false;
    callers_.StopAccepting();
    forwarded_.StopAccepting();
    relay_.RefuseLate();
  }
  if (passed >= settings_.grace_ - GiveUpReserve(settings_.grace_)) {
    relay_.GiveUpAll();
  }
  const bool is_idle = callers_.open_requests() == 0 &&
                       forwarded_.open_requests() == 0 &&
                       owners_.served_jobs() == 0;
  if ((has_closed_idle && is_idle) ||
      passed >= settings_.grace_ - ExitReserve(settings_.grace_)) {
    io_.stop();
  }
}

GatewayHost::GatewayHost(NodeSettings settings,
                         SettingsHook read_settings,
                         const Dialect* dialect,
                         EventLog* log)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   std::move(read_settings),
                                   dialect,
                                   log)) {}

GatewayHost::~GatewayHost() = default;

bool GatewayHost::Run(Error* error) {
  return impl_->Run(error);
}

}  // namespace citronlane
