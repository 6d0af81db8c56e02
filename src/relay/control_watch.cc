#include "citronlane/relay/control_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/fleet/update_pause.h"
#include "citronlane/net/fleet_codec.h"
#include "citronlane/net/frame_link.h"
#include "citronlane/observe/event_log.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;
using wire::fleet::WatchUpdate;

/// Control VMs send an update every 200 ms.
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(800);
/// A VM without power does not even answer the connection attempt; others reply
/// within a few milliseconds. Each further attempt waits half as long again, up
/// to kSilenceTimeout.
constexpr Duration kFirstReplyTimeout = std::chrono::milliseconds(120);
/// Delay before reconnecting to a VM that ended the connection.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(60);

}  // namespace

ControlWatch::ControlWatch(boost::asio::io_context* io,
                           Options options,
                           EventLog* log,
                           Hooks hooks)
    : io_(io),
      options_(std::move(options)),
      log_(log),
      hooks_(std::move(hooks)),
      started_(SteadyNow()) {}

ControlWatch::~ControlWatch() = default;

void ControlWatch::SetSeeds(std::vector<std::string> seeds) {
  if (!seeds.empty()) {
    options_.seeds_ = std::move(seeds);
  }
}

FrameLink* ControlWatch::LeaderLink() const {
  const auto leader = candidates_.find(leader_);
  return leader == candidates_.end() ? nullptr : leader->second.link_.get();
}

void ControlWatch::SetStopping() {
  stopping_ = true;
  if (FrameLink* link = LeaderLink()) {
    SendWatchRequest(link, true);
  }
}

void ControlWatch::SetCutOff(bool cut_off) {
  cut_off_ = cut_off;
  if (FrameLink* link = LeaderLink()) {
    SendWatchRequest(link, true);
  }
}

void ControlWatch::ReportLoad(const GatewayLoad& load) {
  load_ = load;
  if (FrameLink* link = LeaderLink()) {
    SendWatchRequest(link, false);
  }
}

void ControlWatch::Send(const Frame& frame) {
  if (FrameLink* link = LeaderLink()) {
    link->Send(frame);
  }
}

void ControlWatch::SendToAny(const Frame& frame) {
  if (FrameLink* link = LeaderLink()) {
    link->Send(frame);
    return;
  }
  for (const auto& [endpoint, candidate] : candidates_) {
    if (candidate.link_ && candidate.link_->is_connected()) {
      candidate.link_->Send(frame);
    }
  }
}

// All known VMs while there is no leader: contacted one after the other, each
// VM without power would delay the search for its timeout.
std::set<std::string> ControlWatch::EndpointsToWatch() const {
  if (!leader_.empty()) {
    return {leader_};
  }
  std::set<std::string> wanted(members_.begin(), members_.end());
  wanted.insert(options_.seeds_.begin(), options_.seeds_.end());
  if (!leader_hint_.empty()) {
    wanted.insert(leader_hint_);
  }
  return wanted;
}

void ControlWatch::Tick(TimePoint now) {
  for (auto& [endpoint, candidate] : candidates_) {
    if (candidate.link_) {
      CheckAlive(endpoint, &candidate, now);
    }
    if (candidate.link_ && candidate.confirm_at_ &&
        now >= *candidate.confirm_at_) {
      ConfirmConfig(&candidate);
    }
  }
  const std::set<std::string> wanted = EndpointsToWatch();
  for (auto it = candidates_.begin(); it != candidates_.end();) {
    it = wanted.count(it->first) == 0 ? candidates_.erase(it) : std::next(it);
  }
  for (const std::string& endpoint : wanted) {
    Candidate& candidate = candidates_[endpoint];
    if (!candidate.link_ && now >= candidate.next_connect_) {
      Connect(endpoint, &candidate, now);
    }
  }
}

void ControlWatch::CheckAlive(const std::string& endpoint,
                              Candidate* candidate,
                              TimePoint now) {
  if (candidate->is_lost_) {
    Disconnect(endpoint, candidate, "the connection ended", now);
    return;
  }
  const bool has_replied = candidate->last_update_ >= candidate->requested_;
  const Duration timeout =
      has_replied ? kSilenceTimeout
                  : std::clamp(candidate->first_reply_timeout_,
                               kFirstReplyTimeout, kSilenceTimeout);
  const TimePoint last =
      std::max({candidate->requested_, candidate->last_update_,
                candidate->link_->last_received()});
  if (now - last >= timeout) {
    candidate->first_reply_timeout_ =
        has_replied ? kFirstReplyTimeout : timeout * 3 / 2;
    Disconnect(endpoint, candidate, "it is silent", now);
  }
}

void ControlWatch::Disconnect(const std::string& endpoint,
                              Candidate* candidate,
                              const std::string& reason,
                              TimePoint now) {
  if (endpoint == leader_) {
    leader_.clear();
    log_->Write("watch", "control lost",
                {{"control", endpoint}, {"reason", reason}});
  }
  candidate->link_.reset();
  candidate->confirm_at_.reset();
  candidate->is_lost_ = false;
  candidate->next_connect_ = now + kReconnectDelay;
}

void ControlWatch::Connect(const std::string& endpoint,
                           Candidate* candidate,
                           TimePoint now) {
  FrameLink::Hooks hooks;
  hooks.received_ = [this, endpoint](Frame* frame) { Take(endpoint, frame); };
  // Closed at the next tick, because the link is running now.
  hooks.lost_ = [candidate](FrameLink::Loss) { candidate->is_lost_ = true; };
  candidate->requested_ = now;
  candidate->link_ =
      std::make_unique<FrameLink>(io_, endpoint, std::move(hooks));
  SendWatchRequest(candidate->link_.get(), true);
}

// A report of the load alone has no owners: control knows that it changes
// nothing else.
void ControlWatch::SendWatchRequest(FrameLink* link, bool with_owners) {
  Frame frame;
  auto* watch = frame.mutable_watch();
  watch->set_gateway(options_.own_endpoint_);
  watch->set_failure_domain(options_.failure_domain_);
  watch->set_relay_address(options_.relay_address_);
  watch->set_processor_cores(options_.capacity_.processor_cores_);
  watch->set_link_bytes_per_second(options_.capacity_.link_bytes_per_second_);
  watch->set_stopping(stopping_);
  watch->set_cut_off(cut_off_);
  if (const auto version = hooks_.config_version_()) {
    watch->set_has_config(true);
    watch->set_config_version(*version);
  }
  watch->set_has_gateways(hooks_.knows_gateways_());
  if (with_owners) {
    hooks_.add_owners_(watch);
  }
  watch->set_processor_use(load_.processor_use_);
  watch->set_link_use(load_.link_use_);
  watch->set_loop_lag_ms(InMilliseconds(load_.loop_lag_));
  watch->set_age_ms(InMilliseconds(SteadyNow() - started_));
  link->Send(frame);
}

void ControlWatch::Take(const std::string& endpoint, Frame* frame) {
  if (frame->has_origin_answer() && hooks_.origin_answer_) {
    hooks_.origin_answer_(frame->origin_answer());
  }
  if (!frame->has_update()) {
    return;
  }
  Candidate& candidate = candidates_.at(endpoint);
  candidate.last_update_ = SteadyNow();
  candidate.first_reply_timeout_ = kFirstReplyTimeout;
  const bool has_config = frame->update().has_config();
  const TimePoint begun = candidate.last_update_;
  TakeUpdate(endpoint, frame->mutable_update());
  if (!has_config) {
    return;
  }
  // The update is acknowledged whether it was applied or not: control sends the
  // next one only after that.
  const TimePoint now = SteadyNow();
  candidate.confirm_at_ = now + PauseAfterUpdate(now - begun);
  if (now >= *candidate.confirm_at_) {
    ConfirmConfig(&candidate);
  }
}

void ControlWatch::ConfirmConfig(Candidate* candidate) {
  candidate->confirm_at_.reset();
  Frame frame;
  auto* held = frame.mutable_config_held();
  const auto version = hooks_.config_version_();
  held->set_none(!version);
  held->set_version(version.value_or(0));
  candidate->link_->Send(frame);
}

void ControlWatch::TakeUpdate(const std::string& endpoint,
                              WatchUpdate* update) {
  if (!leader_.empty() && endpoint != leader_) {
    // Sent before the leader was found.
    return;
  }
  if (update->members_size() > 0) {
    members_.assign(update->members().begin(), update->members().end());
  }
  if (update->leads()) {
    if (leader_.empty()) {
      leader_ = endpoint;
      had_leader_ = true;
      log_->Write("watch", "control regained", {{"control", endpoint}});
      hooks_.leader_found_();
    }
    hooks_.updated_(update);
    return;
  }
  if (endpoint == leader_) {
    leader_.clear();
    log_->Write("watch", "control lost",
                {{"control", endpoint}, {"reason", "it no longer leads"}});
  }
  leader_hint_ = update->leader();
  const bool lacks_config = update->has_config() && !hooks_.config_version_();
  if (lacks_config || (update->has_gateways() && !had_leader_)) {
    hooks_.updated_(update);
  }
}

}  // namespace citronlane
