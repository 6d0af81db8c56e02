#include "citronlane/relay/control_watch.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/frame_link.h"
#include "citronlane/observe/event_log.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;

/// Control VMs speak every 200 ms.
constexpr Duration kSilence = std::chrono::milliseconds(800);
/// One that has no power answers nothing, not even the connection; each further
/// one in a row gets twice as long, up to kSilence. With kSilence from the
/// start most gateways found a new leader 1.2 s after its election.
constexpr Duration kFirstAnswer = std::chrono::milliseconds(200);
/// Pause between two VMs that do not lead.
constexpr Duration kRetryPause = std::chrono::milliseconds(60);

}  // namespace

ControlWatch::ControlWatch(boost::asio::io_context* io,
                           Options options,
                           EventLog* log,
                           Hooks hooks)
    : io_(io),
      options_(std::move(options)),
      log_(log),
      hooks_(std::move(hooks)),
      started_(SteadyNow()),
      first_patience_(kFirstAnswer) {}

ControlWatch::~ControlWatch() = default;

void ControlWatch::SetSeeds(std::vector<std::string> seeds) {
  if (!seeds.empty()) {
    options_.seeds_ = std::move(seeds);
  }
}

void ControlWatch::SetStopping() {
  stopping_ = true;
  if (link_ && has_leader_) {
    Ask();
  }
}

void ControlWatch::Tick(TimePoint now) {
  if (lost_) {
    LeaveCandidate("the connection ended", now);
  }
  if (!link_) {
    if (now >= next_connect_) {
      Connect(now);
    }
    return;
  }
  const bool has_answered = last_update_ >= asked_;
  const Duration patience =
      has_answered ? kSilence : std::min(kSilence, first_patience_);
  if (now - std::max(asked_, last_update_) >= patience) {
    first_patience_ = has_answered ? kFirstAnswer : first_patience_ * 2;
    LeaveCandidate("it is silent", now);
  }
}

void ControlWatch::Connect(TimePoint now) {
  std::vector<std::string> candidates = members_;
  candidates.insert(candidates.end(), options_.seeds_.begin(),
                    options_.seeds_.end());
  if (candidates.empty()) {
    return;
  }
  std::string candidate = std::exchange(leader_hint_, std::string());
  if (candidate.empty()) {
    candidate = candidates[next_candidate_++ % candidates.size()];
  }
  FrameLink::Hooks hooks;
  hooks.received_ = [this](Frame* frame) { Take(frame); };
  hooks.lost_ = [this](FrameLink::Loss) { lost_ = true; };
  lost_ = false;
  asked_ = now;
  link_ = std::make_unique<FrameLink>(io_, candidate, std::move(hooks));
  Ask();
}

void ControlWatch::Ask() {
  Frame frame;
  auto* watch = frame.mutable_watch();
  watch->set_gateway(options_.own_endpoint_);
  watch->set_failure_domain(options_.failure_domain_);
  watch->set_stopping(stopping_);
  if (const auto version = hooks_.config_version_()) {
    watch->set_has_config(true);
    watch->set_config_version(*version);
  }
  watch->set_has_gateways(hooks_.knows_gateways_());
  hooks_.add_owners_(watch);
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyNow() - started_);
  watch->set_age_ms(static_cast<uint64_t>(age.count()));
  link_->Send(frame);
}

void ControlWatch::Take(Frame* frame) {
  if (!frame->has_update()) {
    return;
  }
  auto* update = frame->mutable_update();
  last_update_ = SteadyNow();
  first_patience_ = kFirstAnswer;
  if (update->members_size() > 0) {
    members_.assign(update->members().begin(), update->members().end());
  }
  if (update->leads()) {
    if (!std::exchange(has_leader_, true)) {
      log_->Write("watch", "control regained",
                  {{"control", link_->endpoint()}});
    }
    hooks_.updated_(update);
    return;
  }
  if (update->has_config() && !hooks_.config_version_()) {
    hooks_.updated_(update);
  }
  // Left at the next tick: the link is at work now.
  leader_hint_ = update->leader() == link_->endpoint() ? "" : update->leader();
  lost_ = true;
}

void ControlWatch::LeaveCandidate(const std::string& reason, TimePoint now) {
  if (std::exchange(has_leader_, false)) {
    log_->Write("watch", "control lost",
                {{"control", link_->endpoint()}, {"reason", reason}});
  }
  lost_ = false;
  link_.reset();
  next_connect_ = leader_hint_.empty() ? now + kRetryPause : now;
}

}  // namespace citronlane
