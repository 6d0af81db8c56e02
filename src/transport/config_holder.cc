#include "citronlane/transport/detail/config_holder.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"

namespace citronlane {
namespace {

/// The node we watch is asked at each tick, others at every second one.
constexpr uint64_t kTicksPerRound = 2;
/// Below this part of its length, a lease is renewed at all nodes.
constexpr int kShortLease = 2;
constexpr Duration kMaxBehindLimit = std::chrono::seconds(8);

}  // namespace

ConfigHolder::ConfigHolder(ControlLink* link,
                           const ControlClientHooks& hooks,
                           std::function<void()> on_unregistered)
    : link_(link),
      hooks_(hooks),
      on_unregistered_(std::move(on_unregistered)),
      lease_(link->options_.lease_),
      watcher_(link,
               {[this](const wire::ConfigUpdate& update) { OnUpdate(update); },
                [this] { return need_whole_ ? 0 : follower_.version(); },
                [this](const std::string& address) {
                  Log("Control VM " + address + " is left.");
                }}),
      renewer_(link,
               {[this](const wire::LeaseReply& reply, TimePoint sent) {
                  OnReply(reply, sent);
                },
                [this](const std::string& address, bool answered) {
                  OnProbe(address, answered);
                }}),
      behind_limit_(link->options_.watch_timeout_) {}

void ConfigHolder::Start() {
  link_->timers_.Post([this] {
    watcher_.Start();
    Tick();
  });
}

void ConfigHolder::Tick() {
  if (link_->calls_.is_stopping()) {
    return;
  }
  const uint64_t version = lease_.version();
  const Duration left = lease_.valid_until() - SteadyNow();
  if (left < link_->options_.lease_ / kShortLease) {
    renewer_.AskAll(version);
  } else {
    renewer_.AskUntold(version);
    renewer_.Ask(watcher_.address(), version);
    if (ticks_++ % kTicksPerRound == 0) {
      renewer_.AskOthers(watcher_.address(), voters_ / 2, version);
    }
  }
  CheckBehind();
  link_->timers_.After(link_->options_.renew_interval_, [this] { Tick(); });
}

void ConfigHolder::OnUpdate(const wire::ConfigUpdate& update) {
  TellServers(update);
  Error error;
  std::shared_ptr<const ClusterConfig> config = follower_.Apply(update, &error);
  if (!error.message_.empty()) {
    Log("An update is refused: " + error.message_);
    need_whole_ = true;
    link_->timers_.After(link_->options_.retry_delay_,
                         [this] { watcher_.Restart(); });
    return;
  }
  if (!config) {
    return;
  }
  need_whole_ = false;
  const uint64_t version = config->version_;
  if (hooks_.on_config_) {
    hooks_.on_config_(std::move(config));
  }
  lease_.Accept(version);
  behind_limit_ = link_->options_.watch_timeout_;
  TellLease();
  // The control VMs learn at once that the version is in force here.
  renewer_.AskAll(version);
}

void ConfigHolder::OnReply(const wire::LeaseReply& reply, TimePoint sent) {
  if (reply.unregistered()) {
    on_unregistered_();
  }
  if (reply.peers_size() > 0) {
    std::vector<std::string> addresses;
    for (const wire::ControlAddress& peer : reply.peers()) {
      addresses.push_back(peer.address());
    }
    link_->channels_.SetAddresses(std::move(addresses));
  }
  renewer_.set_peers_hash(reply.peers_hash());
  if (!reply.voter()) {
    return;
  }
  voters_ = static_cast<size_t>(reply.voters_size());
  newest_seen_ = std::max(newest_seen_, reply.newest_version());
  LeaseVote vote;
  vote.node_ = reply.node();
  vote.voters_.assign(reply.voters().begin(), reply.voters().end());
  vote.newest_version_ = reply.newest_version();
  vote.sent_ = sent;
  lease_.OnVote(vote);
  TellLease();
}

void ConfigHolder::OnProbe(const std::string& address, bool answered) {
  if (answered || link_->calls_.is_stopping()) {
    return;
  }
  if (address == watcher_.address()) {
    watcher_.MoveOn();
  }
  // Another node has to make the majority.
  renewer_.AskOthers(address, voters_ / 2, lease_.version());
}

void ConfigHolder::TellServers(const wire::ConfigUpdate& update) const {
  for (const wire::LeavingServer& server : update.leaving()) {
    const auto& hook = server.live() ? hooks_.on_live_ : hooks_.on_leaving_;
    if (hook) {
      hook(server.server(), server.incarnation());
    }
  }
}

void ConfigHolder::TellLease() {
  if (lease_.valid_until() > told_until_) {
    told_until_ = lease_.valid_until();
    if (hooks_.on_lease_) {
      hooks_.on_lease_(told_until_);
    }
  }
}

// A node that is cut off from the others goes on answering with what it has.
// The wait doubles, since the newest version may be one that never commits.
void ConfigHolder::CheckBehind() {
  const TimePoint now = SteadyNow();
  if (newest_seen_ <= lease_.version()) {
    behind_since_ = now;
    return;
  }
  if (now - behind_since_ > behind_limit_) {
    behind_since_ = now;
    behind_limit_ = std::min(2 * behind_limit_, kMaxBehindLimit);
    watcher_.MoveOn();
  }
}

void ConfigHolder::Log(const std::string& line) const {
  if (hooks_.log_) {
    hooks_.log_(line);
  }
}

}  // namespace citronlane
