#include "citronlane/control/gateway_feed.h"

#include <algorithm>
#include <utility>

#include "citronlane/fleet/drained_servers.h"
#include "citronlane/fleet/pool_division.h"
#include "citronlane/net/fleet_codec.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/state/fleet_state.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::ConfigHeld;
using wire::fleet::Frame;
using wire::fleet::WatchRequest;
using wire::fleet::WatchUpdate;

/// Gateways find a new leader within about a second; until then they keep the
/// list of their peers that the last one gave them.
constexpr Duration kGatheringTime = std::chrono::milliseconds(1500);
/// A new leader has read the list of servers by then, unless the platform does
/// not answer; by it pools are divided.
constexpr Duration kListTime = std::chrono::seconds(1);
/// Versions that gateways may still hold while changes come in quick
/// succession; a small part of a control VM's memory.
constexpr size_t kRecentBytes = size_t{16} << 20;
/// A version that some gateways lack for so long is logged: soon it is late.
constexpr Duration kLateConfig = std::chrono::seconds(1);
/// A gateway that is in touch confirms an update sooner, also after a pause.
constexpr Duration kLongestUnconfirmed = std::chrono::milliseconds(1200);

}  // namespace

struct GatewayFeed::Watcher {
  std::weak_ptr<FrameChannel> channel_;
  std::string gateway_;
  std::string failure_domain_;
  bool stopping_ = false;
  bool has_gateways_ = false;
  TimePoint started_;
  /// What the gateway holds, as it said last.
  std::optional<uint64_t> config_version_;
  /// A configuration is on its way that the gateway has not confirmed. The next
  /// one waits for that, so that it is the newest by then, and only one takes
  /// up memory here and time on the gateway's link.
  bool is_config_on_way_ = false;
  TimePoint config_sent_;
  uint64_t servers_number_ = 0;
  uint64_t gateways_number_ = 0;
  uint64_t owners_number_ = 0;
  /// As it was told last; nothing when it was not.
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
      documents_(kRecentBytes) {}

GatewayFeed::~GatewayFeed() = default;

void GatewayFeed::Watch(const std::shared_ptr<FrameChannel>& channel,
                        const WatchRequest& request,
                        TimePoint now) {
  auto& watcher = watchers_[channel.get()];
  if (!watcher) {
    watcher = std::make_unique<Watcher>();
    watcher->channel_ = channel;
  }
  watcher->gateway_ = request.gateway();
  watcher->failure_domain_ = request.failure_domain();
  watcher->stopping_ = request.stopping();
  watcher->has_gateways_ = request.has_gateways();
  watcher->started_ = now - std::chrono::milliseconds(request.age_ms());
  if (request.has_config() && !watcher->is_config_on_way_) {
    watcher->config_version_ = request.config_version();
  }
  if (request.has_owners()) {
    watcher->owners_number_ = request.owners().number();
    assignment_.Adopt(request.owners().number(),
                      DecodeOwners(request.owners()));
  }
  // The others hear of it at the next round: a fleet that starts up would
  // send each of its gateways' names to each of them.
  ++gateways_number_;
  NoteConfig(now);
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
  watcher->is_config_on_way_ = false;
  watcher->config_version_ =
      held.none() ? std::nullopt : std::optional(held.version());
  NoteConfig(now);
  if (watcher->config_version_ != documents_.newest()) {
    Push(watcher, now);
  }
  LogConfigProgress(now);
}

void GatewayFeed::Closed(const FrameChannel* channel) {
  if (watchers_.erase(channel) > 0) {
    ++gateways_number_;
  }
}

void GatewayFeed::SetServers(std::vector<BackendServer> servers,
                             size_t unusable,
                             TimePoint now) {
  servers_read_ = now;
  if (servers != servers_ || unusable != unusable_ || servers_number_ == 0) {
    servers_ = std::move(servers);
    unusable_ = unusable;
    ++servers_number_;
  }
  PushAll(now);
}

void GatewayFeed::StartLeading(TimePoint now) {
  leading_since_ = now;
  assignment_.StartLeading(now, leadership_().term_);
  servers_read_.reset();
  ++servers_number_;
  ++gateways_number_;
}

void GatewayFeed::UpdateAssignment(TimePoint now) {
  if (!leadership_().leads_) {
    return;
  }
  std::vector<PoolAssignment::Gateway> gateways;
  for (const auto& [key, watcher] : watchers_) {
    gateways.push_back({watcher->gateway_, watcher->stopping_,
                        now - watcher->started_, watcher->failure_domain_});
  }
  const bool knows_no_parts = assignment_.number() == 0 && !servers_read_;
  if (knows_no_parts && now < leading_since_ + kListTime) {
    return;
  }
  assignment_.Update(Parts(), gateways, now);
}

// Without a list the parts that are stay, since each change moves servers.
std::vector<PoolPart> GatewayFeed::Parts() const {
  const std::vector<PooledService> services = pools_();
  if (servers_read_) {
    return DividePools(services,
                       WithDrained(servers_, state_->drained().names()),
                       assignment_.owners());
  }
  std::vector<PoolPart> parts;
  for (const PooledService& service : services) {
    const auto held =
        PoolAssignment::PartsAmong(assignment_.owners(), service.name_);
    parts.insert(parts.end(), held.begin(), held.end());
    if (held.empty()) {
      parts.emplace_back(service.name_);
    }
  }
  return parts;
}

void GatewayFeed::PushAll(TimePoint now) {
  NoteConfig(now);
  UpdateAssignment(now);
  std::vector<std::pair<std::shared_ptr<FrameChannel>, Watcher*>> open;
  for (const auto& [key, watcher] : watchers_) {
    if (auto channel = watcher->channel_.lock()) {
      open.emplace_back(std::move(channel), watcher.get());
    }
  }
  for (const auto& [channel, watcher] : open) {
    // A channel that a push closes takes its watcher with it.
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
                           watcher.is_config_on_way_ &&
                           now - watcher.config_sent_ >= kLongestUnconfirmed;
                       const auto& held = watcher.config_version_;
                       return (held && *held >= version) || is_silent;
                     });
}

ConfigSpread GatewayFeed::Spread() const {
  ConfigSpread spread;
  spread.newest_ = documents_.newest().value_or(0);
  spread.lowest_ = spread.newest_;
  for (const auto& [key, watcher] : watchers_) {
    const uint64_t held = watcher->config_version_.value_or(0);
    ++spread.gateways_;
    spread.behind_ += held < spread.newest_ ? 1 : 0;
    spread.lowest_ = std::min(spread.lowest_, held);
  }
  return spread;
}

void GatewayFeed::NoteConfig(TimePoint now) {
  const ConfigRegister& config = state_->config();
  if (config.is_empty() || documents_.newest() == config.version()) {
    return;
  }
  documents_.Add(config.version(), config.document());
  config_since_ = now;
  logged_everywhere_ = false;
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
  // When the whole fleet has restarted, gateways have nobody else to hear of
  // each other from until there is a leader. Without that each would run all
  // pools by itself, and all would call the same servers.
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
    if (watcher->owners_number_ != assignment_.number()) {
      watcher->owners_number_ = assignment_.number();
      EncodeOwners(assignment_.number(), assignment_.owners(),
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
  const bool has_news = newest && (!held || *held < *newest);
  // What was committed once, though it may not be the newest, serves better
  // than nothing until a leader is found.
  if (!has_news || watcher->is_config_on_way_ || (held && !leads)) {
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
  watcher->is_config_on_way_ = true;
  watcher->config_sent_ = now;
}

// A line when all gateways hold the newest version, and one when some still
// lack it after a while.
void GatewayFeed::LogConfigProgress(TimePoint now) {
  const auto newest = documents_.newest();
  if (!newest || logged_everywhere_ || watchers_.empty() ||
      !leadership_().leads_) {
    return;
  }
  const ConfigSpread spread = Spread();
  if (spread.behind_ == 0) {
    logged_everywhere_ = true;
    log_->Write("control", "config everywhere",
                {{"version", *newest},
                 {"gateways", spread.gateways_},
                 {"after_ms", now - config_since_}});
  } else if (!logged_late_ && now - config_since_ >= kLateConfig) {
    logged_late_ = true;
    log_->Write("control", "config late",
                {{"version", *newest},
                 {"behind", spread.behind_},
                 {"lowest", spread.lowest_},
                 {"gateways", spread.gateways_},
                 {"after_ms", now - config_since_}});
  }
}

// While gateways gather, the list is not whole: one that has a list keeps it.
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
  }
}

}  // namespace citronlane
