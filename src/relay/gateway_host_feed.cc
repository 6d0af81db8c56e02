#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "absl/strings/str_join.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/net/fleet_codec.h"
#include "citronlane/net/limit_codec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/relay/detail/gateway_host_impl.h"
#include "citronlane/serving/dialect.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::ConfigUpdate;
using wire::fleet::WatchUpdate;

/// A list that control has not confirmed for this long is read here, well
/// before a leaving server must be known.
constexpr Duration kStaleListAge = std::chrono::milliseconds(1300);
/// Minimum delay between two reads of the list by one gateway.
constexpr Duration kMinListReadDelay = std::chrono::milliseconds(700);
/// Fraction of the list's call rate that all gateways use together while
/// control is unreachable.
constexpr double kGatewayListRateFraction = 0.5;

/// A log line that is too long would be dropped.
constexpr size_t kMaxLoggedNamesBytes = 2000;

}  // namespace

void GatewayHost::Impl::TakeUpdate(WatchUpdate* update) {
  const TimePoint now = SteadyNow();
  if (update->has_config()) {
    TakeConfig(update->config());
  }
  if (update->has_drained()) {
    const auto& names = update->drained().names();
    TakeDrained(DrainedDomains::Names(names.begin(), names.end()));
  }
  for (const auto& limit : update->limits().limits()) {
    limits_.Take(DecodeLimit(limit, now), "control");
  }
  if (update->has_suspects()) {
    crashes_.Take(update->suspects());
  }
  if (update->servers_age_ms() > 0) {
    const TimePoint read =
        now - std::chrono::milliseconds(update->servers_age_ms() - 1);
    if (update->has_servers()) {
      TakeServers(DecodeServers(update->servers()),
                  update->servers().unusable(), read);
    } else {
      view_.ConfirmServers(read);
    }
  }
  if (update->has_gateways()) {
    std::vector<FleetView::Gateway> gateways;
    control_takes_load_ = false;
    for (const auto& entry : update->gateways().gateways()) {
      gateways.push_back({entry.endpoint(), entry.failure_domain(),
                          entry.stopping(), entry.cut_off(),
                          entry.relay_address(),
                          UsableCapacity(entry.processor_cores(),
                                         entry.link_bytes_per_second())});
      control_takes_load_ |= entry.processor_cores() > 0;
    }
    view_.SetGateways(std::move(gateways));
    UpdateGatewaysOfServers();
  }
  if (update->has_owners()) {
    TakeOwners(update->owners().number(), DecodeOwners(update->owners()));
  }
}

void GatewayHost::Impl::TakeOwners(uint64_t number,
                                   PoolAssignment::Owners owners) {
  const uint64_t before = view_.owners_number();
  view_.SetOwners(number, std::move(owners));
  if (view_.owners_number() == before) {
    return;
  }
  std::string own;
  for (const auto& [partition, owner] : view_.owners()) {
    if (owner == settings_.internal_listen_) {
      own += (own.empty() ? "" : " ") + partition.Name();
    }
  }
  log_->Write("gateway", "owners changed",
              {{"number", number},
               {"parts", static_cast<uint64_t>(view_.owners().size())},
               {"own", own}});
}

void GatewayHost::Impl::TakeConfig(const ConfigUpdate& update) {
  const TimePoint begun = SteadyNow();
  metrics_.Count(kConfigUpdatesTotal,
                 {update.has_base() ? "difference" : "whole"});
  Error error;
  if (!received_config_.Take(update, &error)) {
    log_->Write("gateway", "config not restored",
                {{"version", update.version()}, {"reason", error.message_}});
    return;
  }
  std::vector<std::string> faults;
  auto config = dialect_->read_config_(received_config_.document(), &faults);
  if (!config) {
    // Control rejects such a document, so control runs another version of the
    // software.
    log_->Write("gateway", "config invalid",
                {{"faults", static_cast<uint64_t>(faults.size())}});
    return;
  }
  const uint64_t version = config->version();
  if (view_.SetConfig(std::move(config))) {
    ApplyLimits();
    UpdateColdServers();
    UpdateRoomOfServers();
    relay_.OnViewReady();
    log_->Write("gateway", "config in force",
                {{"version", version},
                 {"base", update.base_version()},
                 {"bytes", static_cast<uint64_t>(update.data().size())},
                 {"document_bytes",
                  static_cast<uint64_t>(received_config_.document().size())},
                 {"sent_at_age_ms", update.age_ms()},
                 {"read_ms", SteadyNow() - begun}});
  }
}

void GatewayHost::Impl::TakeServers(std::vector<BackendServer> servers,
                                    size_t unusable,
                                    TimePoint read) {
  NoteUnusable(unusable);
  const uint64_t before = view_.servers_number();
  view_.SetServers(std::move(servers), read);
  if (view_.servers_number() == before) {
    return;
  }
  log_->Write(
      "gateway", "server list changed",
      {{"number", view_.servers_number()},
       {"age_ms", SteadyNow() - read},
       {"unusable", static_cast<uint64_t>(unusable)},
       {"outdated_starts",
        static_cast<uint64_t>(view_.incarnations().outdated())},
       {"clocks_set_back",
        static_cast<uint64_t>(view_.incarnations().clocks_set_back())}});
  ServersChanged();
}

void GatewayHost::Impl::TakeDrained(DrainedDomains::Names domains) {
  const uint64_t before = view_.servers_number();
  const std::string names = absl::StrJoin(domains, " ");
  view_.SetDrained(std::move(domains));
  if (view_.servers_number() == before) {
    return;
  }
  log_->Write("gateway", "drained domains changed", {{"domains", names}});
  ServersChanged();
}

void GatewayHost::Impl::NoteLeaving(const std::string& server) {
  const uint64_t before = view_.servers_number();
  view_.SetLeaving(server);
  if (view_.servers_number() == before) {
    return;
  }
  log_->Write(
      "gateway", "server leaves",
      {{"server", server},
       {"list_age_ms", view_.ServersAge(SteadyNow()).value_or(Duration())}});
  ServersChanged();
}

void GatewayHost::Impl::ServersChanged() {
  server_limits_.Retain([this](std::string_view server) {
    return view_.FindServer(server) != nullptr;
  });
  for (const auto& [service, budget] : budgets_) {
    budget->RetainServers(
        [this](std::string_view server) {
          return view_.FindServer(server) != nullptr;
        },
        SteadyNow());
  }
  UpdateColdServers();
  UpdateRoomOfServers();
  relay_.OnViewReady();
  for (const auto& [partition, pool] : pools_) {
    pool->Tick(SteadyNow());
  }
}

void GatewayHost::Impl::UpdateGatewaysOfServers() {
  std::vector<std::string> names;
  for (const FleetView::Gateway& gateway : view_.gateways()) {
    names.push_back(gateway.endpoint_);
  }
  server_limits_.brittle()->SetGateways(std::move(names));
}

// The configuration may declare fewer slots than the list names.
void GatewayHost::Impl::UpdateRoomOfServers() {
  std::vector<BackendServer> servers = view_.servers();
  for (BackendServer& server : servers) {
    const Service* declared =
        view_.config() ? view_.config()->FindService(server.service_) : nullptr;
    if (declared != nullptr && declared->stage_pool_) {
      server.slots_ = std::min(server.slots_, declared->stage_pool_->slots_);
    }
  }
  server_limits_.SetServers(servers);
}

void GatewayHost::Impl::UpdateColdServers() {
  const TimePoint now = SteadyNow();
  const auto spec = [this](const std::string& service) {
    const Service* declared =
        view_.config() ? view_.config()->FindService(service) : nullptr;
    return declared != nullptr && declared->cold_ ? &*declared->cold_ : nullptr;
  };
  const auto cold = cold_servers_.Update(view_.servers(), spec, now);
  server_limits_.SetCold(cold, now);
  std::string names =
      absl::StrJoin(cold, " ", [](std::string* out, const ColdServer& server) {
        out->append(server.server_);
      });
  if (names == logged_cold_) {
    return;
  }
  logged_cold_ = std::move(names);
  log_->Write("gateway", "cold servers changed",
              {{"count", static_cast<uint64_t>(cold.size())},
               {"servers", logged_cold_.substr(0, kMaxLoggedNamesBytes)},
               {"list_age_ms", view_.ServersAge(now).value_or(Duration())}});
}

// Logged and counted on change only: the list is read twice a second.
void GatewayHost::Impl::NoteUnusable(size_t unusable) {
  if (unusable == unusable_servers_) {
    return;
  }
  if (unusable > unusable_servers_) {
    metrics_.Count(kServerEntriesUnusableTotal, {},
                   static_cast<double>(unusable - unusable_servers_));
  }
  unusable_servers_ = unusable;
  log_->Write("gateway", "server entries unusable",
              {{"entries", static_cast<uint64_t>(unusable)}});
}

// All gateways share one limit on the rate of list calls: the delay between two
// reads grows with the number of gateways and of the list's pages.
void GatewayHost::Impl::ReadStaleList(TimePoint now) {
  const auto age = view_.ServersAge(now);
  const bool is_stale = !age || *age >= kStaleListAge;
  if (is_stale != list_is_stale_) {
    list_is_stale_ = is_stale;
    log_->Write("gateway",
                is_stale ? "server list is stale" : "server list is fresh",
                {{"age_ms", age.value_or(Duration())}});
  }
  if (!is_stale || now < next_list_read_ || list_reader_.is_reading()) {
    return;
  }
  const double calls = static_cast<double>(view_.GatewayCount()) *
                       static_cast<double>(list_reader_.pages());
  const std::chrono::duration<double> pause(
      calls / (settings_.server_list_rate_ * kGatewayListRateFraction));
  next_list_read_ = now + std::max(kMinListReadDelay,
                                   std::chrono::duration_cast<Duration>(pause));
  list_reader_.Read(
      [this, now](std::optional<std::vector<BackendServer>> servers,
                  const Error&) {
        if (servers) {
          TakeServers(std::move(*servers), list_reader_.unusable(), now);
        }
      });
}

void GatewayHost::Impl::Reload() {
  if (const auto settings = read_settings_()) {
    watch_.SetSeeds(settings->seeds_);
  }
}

}  // namespace citronlane
