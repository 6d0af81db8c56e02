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

/// The lease is renewed at the watched node in each tick, at others in every
/// second one.
constexpr uint64_t kTicksPerRound = 2;
/// The lease is renewed at all nodes once its remaining time is below its
/// length divided by this number.
constexpr int kRenewAllDivisor = 2;
/// Upper bound of behind_limit_.
constexpr Duration kMaxBehindLimit = std::chrono::seconds(8);

}  // namespace

ConfigHolder::ConfigHolder(ControlLink* link,
                           const ControlClientHooks& hooks,
                           std::function<void()> on_unregistered)
    : link_(link),
      hooks_(hooks),
      on_unregistered_(std::move(on_unregistered)),
      lease_(link->options_.lease_),
      watcher_(
          link,
          {[this](const wire::ConfigUpdate& update) { OnUpdate(update); },
           [this] { return need_full_document_ ? 0 : follower_.version(); },
           [this](const std::string& address) {
             Log("Stopped watching control VM " + address + ".");
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
  if (left < link_->options_.lease_ / kRenewAllDivisor) {
    renewer_.RenewAtAll(version);
  } else {
    renewer_.RenewAtOutdated(version);
    renewer_.Renew(watcher_.address(), version);
    if (ticks_++ % kTicksPerRound == 0) {
      renewer_.RenewAtOthers(watcher_.address(), voter_count_ / 2, version);
    }
  }
  CheckBehind();
  link_->timers_.After(link_->options_.renew_interval_, [this] { Tick(); });
}

void ConfigHolder::OnUpdate(const wire::ConfigUpdate& update) {
  ReportServers(update);
  Error error;
  std::shared_ptr<const ClusterConfig> config = follower_.Apply(update, &error);
  if (!error.message_.empty()) {
    Log("Configuration update rejected: " + error.message_);
    need_full_document_ = true;
    link_->timers_.After(link_->options_.retry_delay_,
                         [this] { watcher_.Restart(); });
    return;
  }
  if (!config) {
    return;
  }
  need_full_document_ = false;
  const uint64_t version = config->version_;
  if (hooks_.on_config_) {
    hooks_.on_config_(std::move(config));
  }
  lease_.Accept(version);
  behind_limit_ = link_->options_.watch_timeout_;
  ReportLease();
  // Notifies the control VMs immediately that the version is in force here.
  renewer_.RenewAtAll(version);
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
  if (reply.has_suspects() && hooks_.on_suspects_) {
    hooks_.on_suspects_(reply.suspects());
  }
  if (!reply.voter()) {
    return;
  }
  voter_count_ = static_cast<size_t>(reply.voters_size());
  newest_voter_version_ =
      std::max(newest_voter_version_, reply.newest_version());
  LeaseVote vote;
  vote.node_ = reply.node();
  vote.voters_.assign(reply.voters().begin(), reply.voters().end());
  vote.newest_version_ = reply.newest_version();
  vote.sent_ = sent;
  lease_.OnVote(vote);
  ReportLease();
}

void ConfigHolder::OnProbe(const std::string& address, bool answered) {
  if (answered || link_->calls_.is_stopping()) {
    return;
  }
  if (address == watcher_.address()) {
    watcher_.SwitchNode();
  }
  // The majority has to be formed with other nodes.
  renewer_.RenewAtOthers(address, voter_count_ / 2, lease_.version());
}

void ConfigHolder::ReportServers(const wire::ConfigUpdate& update) const {
  for (const wire::LeavingServer& server : update.leaving()) {
    const auto& hook = server.live() ? hooks_.on_live_ : hooks_.on_leaving_;
    if (hook) {
      hook(server.server(), server.incarnation());
    }
  }
}

void ConfigHolder::ReportLease() {
  if (lease_.valid_until() > reported_until_) {
    reported_until_ = lease_.valid_until();
    if (hooks_.on_lease_) {
      hooks_.on_lease_(reported_until_);
    }
  }
}

// Switches nodes if the watched one doesn't deliver a version that a voter has
// reported: a node that is partitioned from the others still replies. The limit
// doubles each time, since the newest version may never be committed.
void ConfigHolder::CheckBehind() {
  const TimePoint now = SteadyNow();
  if (newest_voter_version_ <= lease_.version()) {
    behind_since_ = now;
    return;
  }
  if (now - behind_since_ > behind_limit_) {
    behind_since_ = now;
    behind_limit_ = std::min(2 * behind_limit_, kMaxBehindLimit);
    watcher_.SwitchNode();
  }
}

void ConfigHolder::Log(const std::string& line) const {
  if (hooks_.log_) {
    hooks_.log_(line);
  }
}

}  // namespace citronlane
