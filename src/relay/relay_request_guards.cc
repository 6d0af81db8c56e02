// What keeps a request from servers: blocks of requests that crash them, limits
// that they name, and the Retry-After of those that refused a call.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/crash_watch.h"
#include "citronlane/relay/engine_placement.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/limit_watch.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_request.h"
#include "citronlane/relay/relay_responses.h"
#include "citronlane/relay/server_attempt.h"
#include "citronlane/relay/service_router.h"
#include "citronlane/relay/waker.h"
#include "citronlane/serving/request_fingerprint.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

/// A prompt may have any number of segments; later ones are shared less.
constexpr size_t kMaxSharedSegments = 16;
/// A request for which brittle servers have no room waits at least this long.
constexpr Duration kMinRoomWait = std::chrono::milliseconds(100);
/// Otherwise it waits for the time to its target divided by this.
constexpr int kRoomWaitDivisor = 4;
/// It asks again after these times. Each question about engines is a message to
/// their placement owner.
constexpr Duration kFirstRoomPause = std::chrono::milliseconds(5);
constexpr Duration kMaxRoomPause = std::chrono::milliseconds(40);
constexpr Duration kMaxEngineRoomPause = std::chrono::milliseconds(160);

constexpr int kFirstServerError = 500;
/// Longest wait of a request whose content is suspended. A trial takes the time
/// of a run.
constexpr Duration kMaxTrialWait = std::chrono::seconds(1);
/// The wait is the caller's time left divided by this at most, so that it can
/// come back after a refusal.
constexpr int kTrialWaitDivisor = 3;
constexpr Duration kTrialPause = std::chrono::milliseconds(20);
/// A trial has ended by then, or the content is blocked for longer.
constexpr Duration kSuspendedRetryAfter = std::chrono::seconds(1);

}  // namespace

bool RelayRequest::AwaitTrial(bool is_call) {
  const TimePoint begun = SteadyNow();
  const TimePoint until =
      begun + std::min(kMaxTrialWait,
                       std::max(Duration(),
                                (job_->deadline_ - begun) / kTrialWaitDivisor));
  while (true) {
    const CrashWatch::Pass pass = context_->crashes_->PassOf(
        request_->body_.size(), FingerprintHook(), is_call);
    is_trial_ = is_call && pass == CrashWatch::Pass::kTrial;
    if (pass != CrashWatch::Pass::kWait) {
      return true;
    }
    const TimePoint now = SteadyNow();
    // GiveUp() moves the deadline, and no wait suspends after it.
    if (waker_->caller_gone() || now >= std::min(until, job_->deadline_)) {
      return false;
    }
    waker_->WaitUntil([] { return false; }, std::min(until, now + kTrialPause));
  }
}

void RelayRequest::ReturnTrial() {
  if (is_trial_) {
    is_trial_ = false;
    context_->crashes_->ReturnTrial(Fingerprint());
  }
}

bool RelayRequest::RefuseIfBlocked(bool is_call) {
  if (!AwaitTrial(is_call)) {
    last_failure_ = "content suspended";
    Refuse(RefusalReason::kCrashesServers, kSuspendedRetryAfter);
    return true;
  }
  const bool is_content_blocked =
      context_->crashes_->IsBlocked(request_->body_.size(), FingerprintHook());
  const std::string segment =
      is_content_blocked
          ? std::string()
          : context_->crashes_->BlockedSegment(segments_, is_call);
  if (!is_content_blocked && segment.empty()) {
    return false;
  }
  context_->log_->Write("relay", "request is blocked",
                        {{"request", job_->head_.request_id_},
                         {"segment", segment},
                         {"verdict", ToString(verdict_)}});
  last_failure_ = "crashes servers";
  Refuse(RefusalReason::kCrashesServers);
  return true;
}

void RelayRequest::NoteReplyBegun() {
  if (!is_reply_reported_ &&
      SteadyNow() - first_event_at_ >= CrashWatch::kSegmentSurvivalTime) {
    is_reply_reported_ = true;
    context_->crashes_->OnSegmentsSurvived(segments_);
  }
  if (!is_survival_reported_ &&
      SteadyNow() - first_event_at_ >= CrashWatch::kSurvivalTime) {
    is_survival_reported_ = true;
    context_->crashes_->OnSurvived(request_->body_.size(), FingerprintHook());
  }
}

// The end of a server that leaves is planned and counts against no request.
void RelayRequest::NoteSurvival(const CalledServer& called,
                                const ServerAttempt& attempt) {
  if (!attempt.is_done()) {
    return;
  }
  if (attempt.outcome() == CallOutcome::kSuccess) {
    // Without a length or an event, the end of the server looks the same.
    const bool is_whole =
        called.had_first_event_ || !attempt.ends_with_connection();
    // A faulty server fails calls without running them.
    const bool has_run =
        !attempt.reply().not_run_ && attempt.status() < kFirstServerError;
    if (has_run && is_whole) {
      context_->crashes_->OnSurvived(request_->body_.size(), FingerprintHook());
    }
    const bool has_begun = job_->route_->kind_ == RouteKind::kStreaming
                               ? called.had_first_event_
                               : is_whole && IsSuccess(attempt.status());
    if (has_begun) {
      context_->crashes_->OnSegmentsSurvived(segments_);
    }
    return;
  }
  const BackendServer* listed = context_->view_->FindServer(called.server_.id_);
  const bool is_planned = listed == nullptr || listed->leaving_;
  const Duration replied_for = called.had_first_event_
                                   ? SteadyNow() - called.first_event_at_
                                   : Duration();
  if (attempt.outcome() == CallOutcome::kClosedAfterSend && !is_planned &&
      replied_for < CrashWatch::kSurvivalTime) {
    RequestFingerprint suspect = Fingerprint();
    suspect.is_trial_ = called.is_trial_;
    if (replied_for < CrashWatch::kSegmentSurvivalTime) {
      suspect.segments_ = segments_;
    }
    context_->crashes_->OnBroken(called.server_.id_, called.server_.address_,
                                 suspect);
  }
}

CrashWatch::FingerprintHook RelayRequest::FingerprintHook() {
  return [this]() -> const RequestFingerprint& { return Fingerprint(); };
}

// Computed on first use: only failed calls need it.
const RequestFingerprint& RelayRequest::Fingerprint() {
  if (!fingerprint_) {
    fingerprint_ =
        FingerprintOf(request_->method_, job_->head_.host_, request_->target_,
                      job_->account_, request_->body_);
  }
  return *fingerprint_;
}

std::vector<std::string> RelayRequest::SharedSegments(
    absl::Span<const PromptSegment> prompt) {
  std::vector<std::string> segments;
  for (size_t i = 0; i + 1 < prompt.size(); ++i) {
    const std::string& id = prompt[i].id_;
    const bool is_new =
        std::find(segments.begin(), segments.end(), id) == segments.end();
    if (!id.empty() && is_new && segments.size() < kMaxSharedSegments) {
      segments.push_back(id);
    }
  }
  return segments;
}

bool RelayRequest::AreAllServersLimited() const {
  const ServerLimits& limits = *context_->limits_->limits();
  const TimePoint now = SteadyNow();
  if (limits.CountLimited() + limits.CountCold(now) == 0) {
    return false;
  }
  const auto servers = context_->view_->ServersOf(service_->name_);
  return !servers.empty() &&
         std::all_of(servers.begin(), servers.end(),
                     [&limits, now](const BackendServer* server) {
                       return server->leaving_ ||
                              limits.IsLimited(server->id_, now);
                     });
}

bool RelayRequest::RefuseIfLimited() {
  if (!stages_.HasWork() || !AreAllServersLimited()) {
    return false;
  }
  router_->Update(*context_->view_, SteadyNow());
  engine_.Begin(*service_, EngineDomain());
  if (engine_.is_placed_elsewhere()) {
    const std::string named = engine_.RequestEngine(
        EnginePlacement::Purpose::kReserve, RouterCall(), Unusable());
    engine_.Cancel();
    if (!named.empty()) {
      reserved_engine_ = named;
      return false;
    }
  }
  if (const auto id = ChooseHere()) {
    if (engine_.is_placed_here()) {
      context_->limits_->limits()->Reserve(*id, SteadyNow());
      reserved_engine_ = *id;
    }
    return false;
  }
  RefuseForLimits();
  return true;
}

std::optional<Duration> RelayRequest::ShortestBackoff() const {
  const TimePoint now = SteadyNow();
  std::optional<Duration> shortest;
  for (const BackendServer* server :
       context_->view_->ServersOf(service_->name_)) {
    if (server->leaving_ || !MayContinue(*server)) {
      continue;
    }
    const Duration left =
        context_->limits_->backoffs()->Remaining(server->id_, now);
    if (left == Duration()) {
      return std::nullopt;
    }
    shortest = std::min(shortest.value_or(left), left);
  }
  return shortest;
}

bool RelayRequest::RefuseIfInBackoff() {
  const std::optional<Duration> backoff = ShortestBackoff();
  if (!backoff) {
    return false;
  }
  last_failure_ = "servers in backoff";
  Refuse(RefusalReason::kServersInBackoff, backoff);
  return true;
}

ServerLimits::Scope RelayRequest::LimitScope() const {
  if (!service_->engine_) {
    return ServerLimits::Scope::kShare;
  }
  return engine_.is_placed_here() ? ServerLimits::Scope::kOwner
                                  : ServerLimits::Scope::kShareBesideOwner;
}

std::vector<std::string> RelayRequest::Excluded() {
  std::vector<std::string> excluded = context_->limits_->limits()->Exhausted(
      LimitScope(), context_->view_->GatewayCount(), SteadyNow());
  limits_excluded_ = std::any_of(
      excluded.begin(), excluded.end(), [this](const std::string& id) {
        const BackendServer* server = context_->view_->FindServer(id);
        return server != nullptr && server->service_ == service_->name_;
      });
  for (std::string& server : Unusable()) {
    excluded.push_back(std::move(server));
  }
  return excluded;
}

TimePoint RelayRequest::RoomDeadline() const {
  const TimePoint now = SteadyNow();
  // What its stages have done would be lost with the request.
  const Duration left = job_->target_ - now;
  const Duration wait =
      verdict_ == Verdict::kNotRun ? left / kRoomWaitDivisor : left;
  return std::min(job_->deadline_, now + std::max(wait, kMinRoomWait));
}

// The gateway has few places, which become free with each call that ends. A
// request refused at once would come back when there is room for it already.
const BackendServer* RelayRequest::ChooseWithRoom() {
  const BackendServer* server = Choose();
  const TimePoint begun = SteadyNow();
  const TimePoint until = RoomDeadline();
  const Duration longest =
      service_->engine_ ? kMaxEngineRoomPause : kMaxRoomPause;
  Duration pause = kFirstRoomPause;
  // GiveUp() moves the deadline, and no wait suspends after it.
  while (server == nullptr && limits_excluded_ && IsServiceBrittle() &&
         SteadyNow() < std::min(until, job_->deadline_)) {
    const bool went_on =
        waker_->WaitUntil([this] { return HasSilentGoneOn(); },
                          std::min(until, SteadyNow() + pause));
    if (went_on || waker_->caller_gone()) {
      break;
    }
    pause = std::min(longest, pause * 2);
    server = Choose();
  }
  room_wait_ += SteadyNow() - begun;
  return server;
}

bool RelayRequest::IsServiceBrittle() const {
  return context_->limits_->limits()->brittle()->IsBrittle(service_->name_);
}

void RelayRequest::RefuseForLimits() {
  last_failure_ = "server limits";
  Refuse(RefusalReason::kServerLimits);
}

void RelayRequest::RefuseWithoutServer() {
  if (origin_ && !HasServerOfOrigin()) {
    last_failure_ = "version gone";
    Refuse(RefusalReason::kStreamVersionGone);
  } else if (limits_excluded_) {
    RefuseForLimits();
  } else if (!RefuseIfInBackoff()) {
    RefuseAfterFailure();
  }
}

}  // namespace citronlane
