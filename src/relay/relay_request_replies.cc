#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/limit_watch.h"
#include "citronlane/relay/peer_headers.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_request.h"
#include "citronlane/relay/relay_responses.h"
#include "citronlane/relay/server_attempt.h"
#include "citronlane/relay/service_router.h"
#include "citronlane/relay/waker.h"
#include "citronlane/transport/held_reply.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/stage_client.h"

namespace citronlane {
namespace {

/// When a server has not replied for this multiple of the target, another one
/// is tried, too.
constexpr double kFirstReplyTargetRatio = 1.5;
constexpr Duration kMinFirstReplyLimit = std::chrono::milliseconds(1200);
/// When a stream has paused for this multiple of the declared gap, another
/// server is asked to continue it.
constexpr int kStallGapRatio = 3;
constexpr Duration kMinStallLimit = std::chrono::milliseconds(1000);
/// Time in which a server fetches the inputs of a request.
constexpr Duration kInputFetchTime = std::chrono::milliseconds(150);
constexpr int kFirstServerError = 500;
constexpr int kOk = 200;
constexpr int kConflict = 409;
/// Reason of an attempt whose reply, or an event of it, exceeds its memory.
constexpr std::string_view kTooLarge = "reply too large";

}  // namespace

RelayRequest::AttemptResult RelayRequest::Relay(ServerAttempt* attempt) {
  const TimePoint begun = SteadyNow();
  const auto has_reply = [this, attempt] {
    return attempt->has_head() || attempt->is_done() || HasSilentGoneOn();
  };
  if (stages_.HasWork() && !inputs_freed_) {
    const bool replied = waker_->WaitUntil(
        has_reply, std::min(job_->deadline_, begun + kInputFetchTime));
    if (!replied && !waker_->caller_gone() && SteadyNow() < job_->deadline_) {
      FreeInputs();
    }
  }
  if (silent_) {
    AwaitBesideSilent(*attempt);
  }
  const TimePoint reply_deadline =
      MayCallBesideSilent()
          ? std::min(job_->deadline_, begun + FirstReplyLimit())
          : job_->deadline_;
  const bool replied = waker_->WaitUntil(has_reply, reply_deadline);
  if (waker_->caller_gone()) {
    return {};
  }
  if (HasSilentGoneOn() && !attempt->has_head()) {
    attempt->Cancel();
    return {Step::kSilentWentOn, "silent server went on"};
  }
  if (!replied) {
    if (attempt->was_sent() && SteadyNow() < job_->deadline_) {
      return {Step::kSilent, "silent"};
    }
    attempt->Cancel();
    return AfterFailure(*attempt);
  }
  if (!attempt->has_head()) {
    return AfterFailure(*attempt);
  }
  if (origin_ && IsSuccess(attempt->status()) && !IsListedIncarnation()) {
    attempt->Cancel();
    verdict_ = RaiseVerdict(verdict_, Verdict::kMayHaveRun);
    return {Step::kMayHaveRun, "server not as listed"};
  }
  return RelayReply(attempt);
}

RelayRequest::AttemptResult RelayRequest::RelayReply(ServerAttempt* attempt) {
  const ServerReplyHead& reply = attempt->reply();
  if (!reply.wrong_server_) {
    context_->limits_->OnReply(last_server_, reply);
  }
  if (reply.not_run_) {
    const bool inputs_gone =
        attempt->status() == kConflict && stages_.HasWork();
    return {inputs_gone ? Step::kInputsGone : Step::kNotRun,
            inputs_gone ? "inputs gone" : "server refused"};
  }
  verdict_ = RaiseVerdict(verdict_, Verdict::kMayHaveRun);
  const bool is_success = IsSuccess(attempt->status());
  if (is_success && !reply.sealed_) {
    // Without a seal the origin of the response could not be proven.
    attempt->Cancel();
    return {Step::kMayHaveRun, "no seal"};
  }
  DropLostSilent();
  const bool has_failed = attempt->status() >= kFirstServerError ||
                          (stream_started_ && !is_success);
  if (silent_ && has_failed) {
    attempt->Cancel();
    return {Step::kMayHaveRun, "failed beside silent server"};
  }
  DropSilent();
  if (job_->route_->kind_ == RouteKind::kStreaming && is_success) {
    return RelayStream(attempt);
  }
  return RelayBuffered(attempt);
}

RelayRequest::AttemptResult RelayRequest::RelayBuffered(
    ServerAttempt* attempt) {
  HeldReply held(context_->client_->reply_memory());
  std::string body;
  const bool is_whole = ReadWhole(attempt, job_->deadline_, &held, &body);
  if (waker_->caller_gone()) {
    return {};
  }
  if (!is_whole && attempt->is_done()) {
    return {Step::kMayHaveRun, kTooLarge};
  }
  if (!is_whole || attempt->outcome() != CallOutcome::kSuccess) {
    attempt->Cancel();
    return AfterFailure(*attempt);
  }
  if (stream_started_) {
    // The stream broke, and this server does not continue it.
    return {Step::kMayHaveRun, "continuation failed"};
  }
  const bool failed = attempt->status() >= kFirstServerError;
  if (failed && !awaits_silent_ && job_->route_->MayRepeat() &&
      runs_ + 1 < job_->route_->max_attempts_ && sends_->Reserve()) {
    return {Step::kMayHaveRun, "server error"};
  }
  HttpReply reply = ResponseTo(*attempt);
  reply.body_ = std::move(body);
  verdict_ = RaiseVerdict(verdict_, Verdict::kRan);
  exchange_->Reply(reply);
  Finish("answered", attempt->status());
  return {};
}

bool RelayRequest::ReadWhole(ServerAttempt* attempt,
                             TimePoint until,
                             HeldReply* held,
                             std::string* body) {
  bool is_done = false;
  while (!is_done) {
    const bool is_ready = waker_->WaitUntil(
        [attempt] { return attempt->has_data() || attempt->is_done(); }, until);
    if (!is_ready || waker_->caller_gone()) {
      return false;
    }
    is_done = attempt->is_done();
    body->append(attempt->TakeData());
    if (!held->Resize(body->size())) {
      attempt->Reject();
      return false;
    }
  }
  return true;
}

RelayRequest::AttemptResult RelayRequest::RelayStream(ServerAttempt* attempt) {
  if (!held_event_) {
    held_event_.emplace(context_->client_->reply_memory());
  }
  // An engine may take long before its first event.
  bool has_begun = false;
  while (true) {
    const auto stall_limit = has_begun ? StallLimit() : std::nullopt;
    const bool is_ready = waker_->WaitUntil(
        [attempt] { return attempt->has_data() || attempt->is_done(); },
        stall_limit ? std::min(job_->deadline_, SteadyNow() + *stall_limit)
                    : job_->deadline_);
    if (waker_->caller_gone()) {
      return {};
    }
    if (!is_ready) {
      return SteadyNow() < job_->deadline_
                 ? AttemptResult{Step::kSilent, "silent"}
                 : AfterFailure(*attempt);
    }
    has_begun = has_begun || attempt->has_data();
    const bool is_done = attempt->is_done();
    std::string complete;
    const auto result = events_.Feed(attempt->TakeData(), &complete);
    if (!complete.empty() && !ForwardEvents(complete, *attempt)) {
      return {};
    }
    if (result == EventSplitter::FeedResult::kOutOfOrder) {
      attempt->Cancel();
      return {Step::kMayHaveRun, "events out of order"};
    }
    if (result == EventSplitter::FeedResult::kTooLarge ||
        !held_event_->Resize(events_.partial_bytes())) {
      attempt->Reject();
      return {Step::kMayHaveRun, kTooLarge};
    }
    if (!is_done) {
      if (had_first_event_) {
        NoteReplyBegun();
      }
      continue;
    }
    if (!had_first_event_ && attempt->ends_with_connection()) {
      attempt->MarkBroken();
    }
    if (attempt->outcome() != CallOutcome::kSuccess || events_.has_partial()) {
      return AfterFailure(*attempt);
    }
    if (!stream_started_) {
      exchange_->StartStream(ResponseTo(*attempt));
    }
    exchange_->EndStream();
    verdict_ = RaiseVerdict(verdict_, Verdict::kRan);
    Finish("answered", kOk);
    return {};
  }
}

// The gateway that forwarded the request passes the reply on, too.
HttpReply RelayRequest::ResponseTo(const ServerAttempt& attempt) const {
  HttpReply reply = ResponseOf(attempt.status(), attempt.headers());
  TakeLeavingServer(&reply);
  if (job_->is_forwarded_ && attempt.reply().leaving_) {
    AddLeavingServer(last_server_, &reply);
  }
  return reply;
}

void RelayRequest::FreeInputs() {
  inputs_freed_ = true;
  stages_.FreeAll();
}

// Sends complete events to the caller; returns false when it is gone.
bool RelayRequest::ForwardEvents(const std::string& events,
                                 const ServerAttempt& attempt) {
  if (!had_first_event_) {
    NoteFirstEvent();
    // The engine has read its inputs.
    FreeInputs();
  } else {
    last_event_at_ = SteadyNow();
  }
  if (!stream_started_) {
    stream_started_ = true;
    NoteOrigin();
    first_event_time_ = Elapsed();
    context_->metrics_->Observe(kFirstTokenSeconds, {job_->route_->name_},
                                first_event_time_);
    if (!exchange_->StartStream(ResponseTo(attempt))) {
      return false;
    }
  }
  return exchange_->Write(events);
}

RelayRequest::AttemptResult RelayRequest::AfterFailure(
    const ServerAttempt& attempt) const {
  if (attempt.is_done() && attempt.outcome() == CallOutcome::kConnectFailed) {
    return {Step::kNotRun, "connect failed"};
  }
  if (!attempt.was_sent()) {
    return {Step::kNotRun, attempt.was_denied() ? kNoRepeatLeft : "not sent"};
  }
  return {Step::kMayHaveRun,
          attempt.is_done() ? ToString(attempt.outcome()) : "silent"};
}

std::optional<Duration> RelayRequest::StallLimit() const {
  if (!MayCallBesideSilent() || job_->route_->kind_ != RouteKind::kStreaming ||
      !job_->route_->resumable_ || job_->route_->target_gap_ == Duration()) {
    return std::nullopt;
  }
  return std::max(kMinStallLimit, job_->route_->target_gap_ * kStallGapRatio);
}

Duration RelayRequest::FirstReplyLimit() const {
  const auto limit = std::chrono::duration_cast<Duration>(
      job_->route_->target_latency_ * kFirstReplyTargetRatio);
  return std::max(kMinFirstReplyLimit, limit);
}

void RelayRequest::RefuseAfterFailure() {
  if (ShouldForward() && TryPeers()) {
    return;
  }
  if (verdict_ == Verdict::kNotRun && RefuseIfInBackoff()) {
    return;
  }
  if (verdict_ == Verdict::kNotRun) {
    Refuse(RefusalReason::kNoBackendServer);
  } else if (SteadyNow() >= job_->deadline_) {
    Refuse(RefusalReason::kDeadlineExceeded);
  } else {
    Refuse(RefusalReason::kStageFailed);
  }
}

void RelayRequest::Refuse(RefusalReason reason,
                          std::optional<Duration> retry_after) {
  if (EndsWithSilent() || waker_->caller_gone()) {
    return;
  }
  if (stream_started_) {
    exchange_->Abort();
    Finish("stream broken", kOk);
    return;
  }
  if (SteadyNow() >= job_->deadline_ && verdict_ != Verdict::kNotRun) {
    reason = RefusalReason::kDeadlineExceeded;
  }
  const HttpReply reply = RefusalReply(reason, verdict_, retry_after);
  context_->metrics_->Count(
      kRefusalsTotal, {ToString(reason), job_->route_->name_, job_->account_});
  exchange_->Reply(reply);
  Finish(ToString(reason), reply.status_);
}

}  // namespace citronlane
