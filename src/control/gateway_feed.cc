#include "citronlane/control/gateway_feed.h"

#include <algorithm>
#include <utility>

#include "citronlane/fleet/drained_servers.h"
#include "citronlane/fleet/fleet_load.h"
#include "citronlane/net/fleet_codec.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/state/fleet_state.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::ConfigHeld;
using wire::fleet::CrashReports;
using wire::fleet::Frame;
using wire::fleet::WatchRequest;
using wire::fleet::WatchUpdate;

/// Gateways find a new leader within about a second. Until then they keep the
/// list of gateways that the previous leader sent.
constexpr Duration kGatheringTime = std::chrono::milliseconds(1500);
/// Memory for recent versions, which gateways may still hold while changes come
/// in quick succession; a small fraction of a control VM's memory.
constexpr size_t kRecentBytes = size_t{16} << 20;
/// A version that some gateways lack for longer is logged as late.
constexpr Duration kLateConfigDelay = std::chrono::seconds(1);
/// A connected gateway confirms an update sooner, also after a pause.
constexpr Duration kMaxUnconfirmedTime = std::chrono::milliseconds(1200);

}  // namespace

struct GatewayFeed::Watcher {
  std::weak_ptr<FrameChannel> channel_;
  std::string gateway_;
  std::string failure_domain_;
  std::string relay_address_;
  bool stopping_ = false;
  bool cut_off_ = false;
  bool has_gateways_ = false;
  GatewayCapacity capacity_;
  GatewayLoad load_;
  /// When it reported its load last.
  std::optional<TimePoint> load_reported_;
  TimePoint started_;
  /// Version that the gateway last reported.
  std::optional<uint64_t> config_version_;
  /// Whether a configuration was sent that the gateway has not confirmed. The
  /// next one waits for the confirmation, so that it is the newest by then and
  /// only one occupies memory here and the gateway's link.
  bool is_config_in_flight_ = false;
  TimePoint config_sent_;
  uint64_t servers_number_ = 0;
  uint64_t gateways_number_ = 0;
  uint64_t owners_number_ = 0;
  /// Number of the suspect requests last sent; 0 when none were sent yet.
  uint64_t suspects_number_ = 0;
  /// Number of the limits last sent.
  uint64_t limits_number_ = 0;
  /// Drained domains last sent; nullopt when none were sent yet.
  std::optional<DrainedDomains::Names> drained_;
};

GatewayFeed::GatewayFeed(const FleetState* state,
                         EventLog* log,
                         LeadershipHook leadership,
                         PoolsHook pools)
    : state_(state),
      log_(log),
      leadership_(std::move(leadership)),
      pools_(std::move(pools)),
      documents_(kRecentBytes),
      pool_feed_(log),
      suspects_(log) {}

GatewayFeed::~GatewayFeed() = default;

void GatewayFeed::Watch(const std::shared_ptr<FrameChannel>& channel,
                        const WatchRequest& request,
                        TimePoint now) {
  auto& watcher = watchers_[channel.get()];
  // Such a request is sent several times a second and changes nothing else.
  const bool is_load_report = watcher && !request.has_owners() &&
                              request.stopping() == watcher->stopping_ &&
                              request.cut_off() == watcher->cut_off_;
  if (!watcher) {
    watcher = std::make_unique<Watcher>();
    watcher->channel_ = channel;
  }
  watcher->gateway_ = request.gateway();
  watcher->failure_domain_ = request.failure_domain();
  watcher->relay_address_ = request.relay_address();
  watcher->stopping_ = request.stopping();
  watcher->cut_off_ = request.cut_off();
  watcher->has_gateways_ = request.has_gateways();
  watcher->capacity_ = UsableCapacity(request.processor_cores(),
                                      request.link_bytes_per_second());
  watcher->started_ = now - std::chrono::milliseconds(request.age_ms());
  const GatewayLoad load = UsableLoad(
      request.processor_use(), request.link_use(), request.loop_lag_ms());
  if (IsKnown(load)) {
    watcher->load_ = load;
    watcher->load_reported_ = now;
  }
  if (is_load_report) {
    return;
  }
  if (request.has_config() && !watcher->is_config_in_flight_) {
    watcher->config_version_ = request.config_version();
  }
  if (request.has_owners()) {
    watcher->owners_number_ = request.owners().number();
    pool_feed_.Adopt(request.owners().number(), DecodeOwners(request.owners()));
  }
  // The other gateways are notified by the next PushAll. Otherwise the start of
  // a fleet would send as many lists as there are pairs of gateways.
  ++gateways_number_;
  RecordNewestConfig(now);
  Push(watcher.get(), now);
}

void GatewayFeed::ConfirmConfig(const FrameChannel* channel,
                                const ConfigHeld& held,
                                TimePoint now) {
  const auto found = watchers_.find(channel);
  if (found == watchers_.end()) {
    return;
  }
  Watcher* const watcher = found->second.get();
  watcher->is_config_in_flight_ = false;
  watcher->config_version_ =
      held.none() ? std::nullopt : std::optional(held.version());
  RecordNewestConfig(now);
  if (watcher->config_version_ != documents_.newest()) {
    Push(watcher, now);
  }
  LogConfigProgress(now);
}

void GatewayFeed::TakeLimits(const wire::fleet::ServerLimits& limits,
                             TimePoint now) {
  limits_.Take(limits, now);
}

void GatewayFeed::TakeCrashes(const CrashReports& reports, TimePoint now) {
  if (suspects_.Take(reports, now)) {
    PushAll(now);
  }
}

void GatewayFeed::ClearSuspects(TimePoint now) {
  suspects_.Clear(now);
  PushAll(now);
}

void GatewayFeed::OnClosed(const FrameChannel* channel) {
  if (watchers_.erase(channel) > 0) {
    ++gateways_number_;
  }
}

bool GatewayFeed::HasServers(std::string_view failure_domain) const {
  return std::any_of(servers_.begin(), servers_.end(),
                     [failure_domain](const BackendServer& server) {
                       return server.failure_domain_ == failure_domain;
                     });
}

void GatewayFeed::SetServers(std::vector<BackendServer> servers,
                             size_t unusable,
                             TimePoint now) {
  servers_read_ = now;
  limits_.Retain(servers);
  if (servers != servers_ || unusable != unusable_ || servers_number_ == 0) {
    servers_ = std::move(servers);
    unusable_ = unusable;
    ++servers_number_;
  }
  PushAll(now);
}

void GatewayFeed::StartLeading(TimePoint now) {
  leading_since_ = now;
  pool_feed_.StartLeading(now, leadership_().term_);
  suspects_.StartLeading();
  limits_.StartLeading();
  servers_read_.reset();
  ++servers_number_;
  ++gateways_number_;
}

void GatewayFeed::UpdatePoolAssignment(TimePoint now) {
  if (!leadership_().leads_) {
    return;
  }
  std::vector<FleetLoad::Gateway> gateways;
  for (const auto& [key, watcher] : watchers_) {
    gateways.push_back(
        {{watcher->gateway_, watcher->stopping_, now - watcher->started_,
          watcher->failure_domain_, watcher->cut_off_, watcher->capacity_},
         watcher->load_,
         watcher->load_reported_});
  }
  std::optional<std::vector<BackendServer>> servers;
  if (servers_read_) {
    servers = WithDrained(servers_, state_->drained().names());
  }
  pool_feed_.Update(pools_(), servers, gateways, now);
}

void GatewayFeed::PushAll(TimePoint now) {
  RecordNewestConfig(now);
  UpdatePoolAssignment(now);
  std::vector<std::pair<std::shared_ptr<FrameChannel>, Watcher*>> open;
  for (const auto& [key, watcher] : watchers_) {
    if (auto channel = watcher->channel_.lock()) {
      open.emplace_back(std::move(channel), watcher.get());
    }
  }
  for (const auto& [channel, watcher] : open) {
    // A push that closes a channel removes its watcher.
    if (watchers_.count(channel.get()) != 0) {
      Push(watcher, now);
    }
  }
  LogConfigProgress(now);
}

bool GatewayFeed::IsHeldByAll(uint64_t version, TimePoint now) const {
  return std::all_of(watchers_.begin(), watchers_.end(),
                     [version, now](const auto& entry) {
                       const Watcher& watcher = *entry.second;
                       const bool is_silent =
                           watcher.is_config_in_flight_ &&
                           now - watcher.config_sent_ >= kMaxUnconfirmedTime;
                       const auto& held = watcher.config_version_;
                       return (held && *held >= version) || is_silent;
                     });
}

ConfigPropagation GatewayFeed::Propagation() const {
  ConfigPropagation propagation;
  propagation.newest_ = documents_.newest().value_or(0);
  propagation.lowest_ = propagation.newest_;
  for (const auto& [key, watcher] : watchers_) {
    const uint64_t held = watcher->config_version_.value_or(0);
    ++propagation.gateways_;
    propagation.behind_ += held < propagation.newest_ ? 1 : 0;
    propagation.lowest_ = std::min(propagation.lowest_, held);
  }
  return propagation;
}

void GatewayFeed::RecordNewestConfig(TimePoint now) {
  const ConfigRegister& config = state_->config();
  if (config.is_empty() || documents_.newest() == config.version()) {
    return;
  }
  documents_.Add(config.version(), config.document());
  config_since_ = now;
  logged_complete_ = false;
  logged_late_ = false;
}

void GatewayFeed::Push(Watcher* watcher, TimePoint now) {
  const auto channel = watcher->channel_.lock();
  const Leadership leadership = leadership_();
  Frame frame;
  WatchUpdate* update = frame.mutable_update();
  update->set_leads(leadership.leads_);
  update->set_leader(leadership.leader_);
  for (const std::string& member : leadership.members_) {
    update->add_members(member);
  }
  AddConfig(watcher, leadership.leads_, now, update);
  // After a restart of the complete fleet no leader can send gateways the list
  // of the others. Without it each would run all pools by itself, and all would
  // call the same servers.
  if (!leadership.leads_ && leadership.leader_.empty()) {
    AddGateways(watcher, true, update);
  }
  if (leadership.leads_) {
    if (watcher->drained_ != state_->drained().names()) {
      watcher->drained_ = state_->drained().names();
      auto* drained = update->mutable_drained();
      for (const std::string& domain : *watcher->drained_) {
        drained->add_names(domain);
      }
    }
    // Until gateways have reported to a new leader, they keep the list of the
    // previous one.
    if (now >= leading_since_ + kGatheringTime) {
      watcher->suspects_number_ =
          suspects_.AddTo(watcher->suspects_number_, now, update);
    }
    watcher->limits_number_ =
        limits_.AddTo(watcher->limits_number_, now, update);
    if (servers_read_) {
      if (watcher->servers_number_ != servers_number_) {
        watcher->servers_number_ = servers_number_;
        EncodeServers(servers_, update->mutable_servers());
        update->mutable_servers()->set_unusable(
            static_cast<uint32_t>(unusable_));
      }
      update->set_servers_age_ms(InMilliseconds(now - *servers_read_) + 1);
    }
    AddGateways(watcher, now < leading_since_ + kGatheringTime, update);
    if (watcher->owners_number_ != pool_feed_.number()) {
      watcher->owners_number_ = pool_feed_.number();
      EncodeOwners(pool_feed_.number(), pool_feed_.owners(),
                   update->mutable_owners());
    }
  }
  channel->Send(frame);
}

void GatewayFeed::AddConfig(Watcher* watcher,
                            bool leads,
                            TimePoint now,
                            WatchUpdate* update) {
  const auto& held = watcher->config_version_;
  const auto newest = documents_.newest();
  const bool is_behind = newest && (!held || *held < *newest);
  // Without a leader, a gateway that has no configuration gets the one applied
  // here: it is committed, though it may not be the newest.
  if (!is_behind || watcher->is_config_in_flight_ || (held && !leads)) {
    return;
  }
  Error error;
  const auto* made = documents_.UpdateFrom(held, &error);
  if (made == nullptr) {
    log_->Write("control", "config not encoded",
                {{"version", *newest}, {"reason", error.message_}});
    return;
  }
  auto* config = update->mutable_config();
  config->set_version(made->version_);
  config->set_has_base(made->base_.has_value());
  config->set_base_version(made->base_.value_or(0));
  config->set_data(made->data_);
  config->set_age_ms(InMilliseconds(now - config_since_));
  watcher->is_config_in_flight_ = true;
  watcher->config_sent_ = now;
}

// Logs once when all gateways hold the newest version, and once when some still
// lack it after kLateConfigDelay.
void GatewayFeed::LogConfigProgress(TimePoint now) {
  const auto newest = documents_.newest();
  if (!newest || logged_complete_ || watchers_.empty() ||
      !leadership_().leads_) {
    return;
  }
  const ConfigPropagation propagation = Propagation();
  if (propagation.behind_ == 0) {
    logged_complete_ = true;
    log_->Write("control", "config everywhere",
                {{"version", *newest},
                 {"gateways", propagation.gateways_},
                 {"after_ms", now - config_since_}});
  } else if (!logged_late_ && now - config_since_ >= kLateConfigDelay) {
    logged_late_ = true;
    log_->Write("control", "config late",
                {{"version", *newest},
                 {"behind", propagation.behind_},
                 {"lowest", propagation.lowest_},
                 {"gateways", propagation.gateways_},
                 {"after_ms", now - config_since_}});
  }
}

// While gateways gather the list is incomplete, so a gateway that has one keeps
// it.
void GatewayFeed::AddGateways(Watcher* watcher,
                              bool is_gathering,
                              WatchUpdate* update) const {
  if ((is_gathering && watcher->has_gateways_) ||
      watcher->gateways_number_ == gateways_number_) {
    return;
  }
  watcher->gateways_number_ = gateways_number_;
  auto* list = update->mutable_gateways();
  for (const auto& [key, other] : watchers_) {
    auto* entry = list->add_gateways();
    entry->set_endpoint(other->gateway_);
    entry->set_failure_domain(other->failure_domain_);
    entry->set_stopping(other->stopping_);
    entry->set_cut_off(other->cut_off_);
    entry->set_relay_address(other->relay_address_);
    entry->set_processor_cores(other->capacity_.processor_cores_);
    entry->set_link_bytes_per_second(other->capacity_.link_bytes_per_second_);
  }
}

}  // namespace citronlane
