// Servers that fall silent while they run a request. Another server may be
// called, but the silent one is left for good only when that one replies with a
// success: it may go on, and until then nobody else serves the caller.

#include <algorithm>
#include <memory>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/reach_watch.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_request.h"
#include "citronlane/relay/server_attempt.h"
#include "citronlane/relay/waker.h"

namespace citronlane {
namespace {

/// Two servers work on a request for this long at most. Refusals and failed
/// connections of the second one come sooner.
constexpr Duration kMaxBesideSilent = std::chrono::milliseconds(250);

}  // namespace

bool RelayRequest::MayCallBesideSilent() const {
  return !silent_ && !awaits_silent_ && job_->route_->MayRepeat() &&
         runs_ + 1 < job_->route_->max_attempts_;
}

bool RelayRequest::HasSilentGoneOn() const {
  return silent_ && silent_->HasGoneOn();
}

void RelayRequest::DropLostSilent() {
  if (silent_ && silent_->IsLost()) {
    DropSilent();
  }
}

void RelayRequest::DropSilent() {
  if (silent_) {
    const SilentAttempt dropped = *std::exchange(silent_, std::nullopt);
    NoteSurvival(dropped.called(), dropped.attempt());
  }
}

void RelayRequest::AwaitBesideSilent(const ServerAttempt& other) {
  const auto is_settled = [this, &other] {
    return other.has_head() || other.is_done() || HasSilentGoneOn() ||
           silent_->IsLost();
  };
  waker_->WaitUntil(
      [&is_settled, &other] { return is_settled() || other.sent_at(); },
      job_->deadline_);
  if (!is_settled() && other.sent_at()) {
    const TimePoint until = *other.sent_at() + kMaxBesideSilent;
    waker_->WaitUntil(is_settled, std::min(job_->deadline_, until));
    if (!is_settled() && SteadyNow() >= until) {
      context_->log_->Write("relay", "left silent server",
                            {{"request", job_->head_.request_id_},
                             {"server", silent_->server()},
                             {"next", last_server_},
                             {"after_ms", Elapsed()}});
      DropSilent();
    }
  }
  DropLostSilent();
}

RelayRequest::AttemptResult RelayRequest::ResumeSilent() {
  SilentAttempt kept = *std::exchange(silent_, std::nullopt);
  context_->log_->Write("relay", "back to silent server",
                        {{"request", job_->head_.request_id_},
                         {"server", kept.server()},
                         {"went_on", kept.HasGoneOn() ? "yes" : "no"},
                         {"last_failure", last_failure_},
                         {"after_ms", Elapsed()}});
  events_ = kept.events();
  CalledServer called = kept.called();
  called_ = called.server_;
  last_server_ = called_.id_;
  had_first_event_ = called.had_first_event_;
  first_event_at_ = called.first_event_at_;
  if (had_first_event_) {
    FreeInputs();
  }
  // Counted when the call was left.
  run_ = EngineRun();
  run_.server_ = last_server_;
  run_began_.reset();
  auto attempt = kept.TakeAttempt();
  const AttemptResult ended =
      attempt->has_head() ? RelayReply(attempt.get()) : Relay(attempt.get());
  called.had_first_event_ = had_first_event_;
  called.first_event_at_ = first_event_at_;
  if (ended.step_ == Step::kSilent) {
    // What it sent since then belongs to the state of the stream.
    silent_.emplace(std::move(attempt), std::move(called), events_);
  } else {
    NoteSurvival(called, *attempt);
  }
  return ended;
}

bool RelayRequest::EndsWithSilent() {
  DropLostSilent();
  if (!silent_ || SteadyNow() >= job_->deadline_) {
    return false;
  }
  if (context_->view_->FindServer(silent_->server()) == nullptr ||
      context_->reach_->is_cut_off()) {
    DropSilent();
    return false;
  }
  awaits_silent_ = true;
  return ResumeSilent().step_ == Step::kAnswered;
}

}  // namespace citronlane
