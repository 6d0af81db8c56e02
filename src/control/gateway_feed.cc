#include "citronlane/control/gateway_feed.h"

#include <utility>

#include "citronlane/fleet/pool_division.h"
#include "citronlane/net/fleet_codec.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/state/config_register.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;
using wire::fleet::WatchRequest;
using wire::fleet::WatchUpdate;

/// Gateways find a new leader within about a second; until then they keep the
/// list of their peers that the last one gave them.
constexpr Duration kGatheringTime = std::chrono::milliseconds(1500);
/// A new leader has read the list of servers by then, unless the platform does
/// not answer; by it pools are divided.
constexpr Duration kListTime = std::chrono::seconds(1);

}  // namespace

struct GatewayFeed::Watcher {
  std::weak_ptr<FrameChannel> channel_;
  std::string gateway_;
  std::string failure_domain_;
  bool stopping_ = false;
  bool has_gateways_ = false;
  TimePoint started_;
  /// What the gateway holds, as far as this connection knows.
  std::optional<uint64_t> config_version_;
  uint64_t servers_number_ = 0;
  uint64_t gateways_number_ = 0;
  uint64_t owners_number_ = 0;
};

GatewayFeed::GatewayFeed(const ConfigRegister* config,
                         LeadershipHook leadership,
                         PoolsHook pools)
    : config_(config),
      leadership_(std::move(leadership)),
      pools_(std::move(pools)) {}

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
  if (request.has_config()) {
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
  Push(watcher.get(), now);
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
    return DividePools(services, servers_, assignment_.owners());
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
  const bool has_news =
      !config_->is_empty() && (!watcher->config_version_ ||
                               *watcher->config_version_ < config_->version());
  // What was committed once, though it may not be the newest, serves better
  // than nothing until a leader is found.
  if (has_news && (leadership.leads_ || !watcher->config_version_)) {
    update->set_has_config(true);
    update->set_config_version(config_->version());
    update->set_config(config_->document());
    watcher->config_version_ = config_->version();
  }
  // When the whole fleet has restarted, gateways have nobody else to hear of
  // each other from until there is a leader. Without that each would run all
  // pools by itself, and all would call the same servers.
  if (!leadership.leads_ && leadership.leader_.empty()) {
    AddGateways(watcher, true, update);
  }
  if (leadership.leads_) {
    if (servers_read_) {
      if (watcher->servers_number_ != servers_number_) {
        watcher->servers_number_ = servers_number_;
        EncodeServers(servers_, update->mutable_servers());
        update->mutable_servers()->set_unusable(
            static_cast<uint32_t>(unusable_));
      }
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - *servers_read_);
      update->set_servers_age_ms(static_cast<uint64_t>(age.count()) + 1);
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
