#include "citronlane/relay/service_router.h"

#include <utility>
#include <vector>

#include "citronlane/config/pool_config.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/routing/call_shape.h"
#include "citronlane/routing/router_options.h"
#include "citronlane/routing/server_choice.h"

namespace citronlane {
namespace {

RouterOptions OptionsIn(const std::string& failure_domain) {
  RouterOptions options;
  options.failure_domain_ = failure_domain;
  options.prefix_affinity_ = false;
  return options;
}

}  // namespace

ServiceRouter::ServiceRouter(std::string service,
                             bool has_engines,
                             Duration reuse_window,
                             const std::string& failure_domain,
                             RandomHook random)
    : service_(std::move(service)),
      has_engines_(has_engines),
      engines_(reuse_window),
      pool_(std::make_unique<PoolRouter>(PoolConfig(),
                                         OptionsIn(failure_domain),
                                         std::move(random))) {}

ServiceRouter::~ServiceRouter() = default;

void ServiceRouter::Update(const FleetView& view, TimePoint now) {
  if (servers_number_ == view.servers_number()) {
    return;
  }
  servers_number_ = view.servers_number();
  const auto servers = view.ServersOf(service_);
  if (has_engines_) {
    engines_.Update(servers);
    return;
  }
  PoolConfig pool;
  pool.name_ = service_;
  for (const BackendServer* server : servers) {
    if (!server->leaving_) {
      ServerConfig& config = pool.servers_[server->id_];
      config.id_ = server->id_;
      config.failure_domain_ = server->failure_domain_;
    }
  }
  pool_->Update(pool, now);
}

std::optional<std::string> ServiceRouter::Choose(
    TimePoint now,
    const EngineRouter::Call& call,
    absl::Span<const std::string> excluded) {
  if (has_engines_) {
    return engines_.Choose(now, call, excluded);
  }
  Error ignored;
  const auto choice = pool_->Choose(now, CallShape(), excluded, &ignored);
  return choice ? std::optional(choice->server_) : std::nullopt;
}

std::string ServiceRouter::PreferredFailureDomain(
    TimePoint now,
    const EngineRouter::Call& call) {
  return has_engines_ ? engines_.PreferredFailureDomain(now, call)
                      : std::string();
}

void ServiceRouter::Expect(std::string_view server,
                           TimePoint now,
                           const EngineRouter::Call& call) {
  if (has_engines_) {
    engines_.Expect(server, now, call);
  }
}

EngineRun ServiceRouter::Begin(std::string_view server,
                               TimePoint now,
                               const EngineRouter::Call& call) {
  if (has_engines_) {
    return engines_.Begin(server, now, call);
  }
  pool_->OnStart(server, now, CallShape());
  EngineRun run;
  run.server_ = std::string(server);
  return run;
}

void ServiceRouter::FirstEvent(EngineRun* run, TimePoint now, Duration after) {
  if (has_engines_) {
    engines_.FirstEvent(run, now, after);
  }
}

void ServiceRouter::End(const EngineRun& run,
                        TimePoint now,
                        CallOutcome outcome,
                        Duration took,
                        const EngineOutput& output) {
  if (has_engines_) {
    engines_.End(run, now, outcome, output);
  } else {
    pool_->OnFinish(run.server_, now, outcome, took, 0, CallShape());
  }
}

void ServiceRouter::SetObserver(EngineRouter::Observer observer) {
  engines_.SetObserver(std::move(observer));
}

}  // namespace citronlane
