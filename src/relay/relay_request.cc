#include "citronlane/relay/relay_request.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_join.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/net/server_call_spec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/relay/engine_placement.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/forwarded_headers.h"
#include "citronlane/relay/reach_watch.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_responses.h"
#include "citronlane/relay/server_attempt.h"
#include "citronlane/relay/service_router.h"
#include "citronlane/relay/waker.h"
#include "citronlane/routing/repeat_budget.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

/// Calls that servers refused did not run, but each takes a server's time.
constexpr uint32_t kMaxRefusals = 2;
/// Stages whose results were lost are run again once.
constexpr uint32_t kMaxStageReruns = 1;
/// Fraction of the caller's remaining time within which a late response is
/// attempted; the rest covers errors of the estimate.
constexpr double kLateResponseFraction = 0.45;
/// Factor applied to an estimate before it is compared with the target: in a
/// burst the queues of later stages are still growing.
constexpr double kEstimateSafetyFactor = 1.1;
constexpr int kFirstServerError = 500;

std::string SegmentIds(absl::Span<const PromptSegment> prompt) {
  return absl::StrJoin(prompt, " ",
                       [](std::string* text, const PromptSegment& segment) {
                         text->append(segment.id_);
                       });
}

}  // namespace

RelayRequest::RelayRequest(const RelayContext* context,
                           const RelayJob* job,
                           const HttpRequest* request,
                           HttpExchange* exchange)
    : context_(context),
      job_(job),
      request_(request),
      exchange_(exchange),
      waker_(std::make_shared<Waker>(context->io_, exchange)),
      stages_(job, context->view_, context->owners_, waker_),
      engine_(context->engines_, waker_),
      events_(job->head_.last_event_),
      segments_(SharedSegments(job->head_.prompt_)) {}

RelayRequest::~RelayRequest() {
  DropSilent();
  engine_.Cancel();
  waker_->Detach();
}

void RelayRequest::Run() {
  // When no gateway takes it, servers are missing rather than links: what is
  // left of them is called from here.
  if (!ShouldForward() || !TryPeers()) {
    Serve();
  }
  if (!finished_) {
    Finish("caller gone", 0);
  }
}

void RelayRequest::Serve() {
  if (TakesUpStream() && !FindOrigin()) {
    return;
  }
  service_ = job_->config_->FindService(ServiceName());
  router_ = context_->router_(*service_);
  budget_ = context_->budget_(service_->name_);
  sends_.emplace(
      budget_, RequestSends::Before{job_->was_counted_, job_->was_sent_},
      RequestSends::Hooks{SteadyNow,
                          [this] { return context_->view_->GatewayCount(); }});
  if (!RefuseIfBlocked(false) && !RefuseIfInBackoff() && !RefuseIfLimited() &&
      CanFinishInTime() && RunStages()) {
    RunAttempts();
  }
}

void RelayRequest::GiveUp(RelayJob* job) {
  const TimePoint now = SteadyNow();
  job->deadline_ = std::min(job->deadline_, now);
  job->begin_deadline_ = std::min(job->begin_deadline_, now);
  waker_->Expire();
}

// Refuses a request that cannot be answered in time before any of it runs, so
// that its caller may retry and its pieces take no capacity of calls.
bool RelayRequest::CanFinishInTime() {
  if (!stages_.HasWork()) {
    return true;
  }
  if (stages_.IsDivided()) {
    stage_domain_ = PlannedDomain();
  }
  stages_.Announce(stage_domain_);
  if (MeetsTarget()) {
    return true;
  }
  if (stages_.IsDivided()) {
    TryOtherDomain();
    if (MeetsTarget()) {
      return true;
    }
  }
  const TimePoint now = SteadyNow();
  const Duration worst = stages_.ExpectedTime(true);
  // Late for its target from the start: through all stages it yields to
  // requests that may still meet theirs.
  stages_.SetLate();
  const auto limit = std::chrono::duration_cast<Duration>(
      (job_->begin_deadline_ - now) * kLateResponseFraction);
  if (worst <= limit) {
    return true;
  }
  last_failure_ = "stages too long";
  expected_ = worst;
  Refuse(RefusalReason::kDeadlineUnreachable);
  return false;
}

bool RelayRequest::MeetsTarget() const {
  const Duration expected = stages_.ExpectedTime(false);
  return std::chrono::duration_cast<Duration>(
             expected * kEstimateSafetyFactor) <= job_->target_ - SteadyNow();
}

// Tries one other failure domain, drawn anew for each request: if all moved to
// the least busy one, it would become the busiest.
void RelayRequest::TryOtherDomain() {
  constexpr uint64_t kRandomValues = 1 << 20;
  const std::string other =
      stages_.OtherDomain(context_->random_(kRandomValues));
  if (other.empty()) {
    return;
  }
  const std::string preferred_domain =
      std::exchange(stage_domain_, stages_.CompareWith(other));
  context_->log_->Write("relay", "home is full",
                        {{"request", job_->head_.request_id_},
                         {"home", preferred_domain},
                         {"asked", other},
                         {"stages_in", stage_domain_},
                         {"expected_ms", stages_.ExpectedTime(false)}});
}

bool RelayRequest::RunStages() {
  if (!stages_.HasWork()) {
    return true;
  }
  inputs_freed_ = false;
  stages_.SetResultDomain(stage_domain_.empty() ? PlannedDomain()
                                                : stage_domain_);
  const StageRunner::Result result =
      stages_.Run([this] { return HasSilentGoneOn(); });
  near_domain_ = stages_.InputDomain();
  stages_time_ = Elapsed();
  if (!stages_.not_run()) {
    // A stage is part of the request, so it no longer counts as not run.
    verdict_ = RaiseVerdict(verdict_, Verdict::kMayHaveRun);
  }
  switch (result) {
    case StageRunner::Result::kDone:
      return true;
    case StageRunner::Result::kInterrupted:
      FreeInputs();
      return true;
    case StageRunner::Result::kCallerGone:
      break;
    case StageRunner::Result::kLate:
      last_failure_ = "stages late";
      Refuse(verdict_ == Verdict::kNotRun ? RefusalReason::kDeadlineUnreachable
                                          : RefusalReason::kDeadlineExceeded);
      break;
    case StageRunner::Result::kFailed:
      last_failure_ = stages_.failure();
      RefuseAfterFailure();
      break;
  }
  return false;
}

void RelayRequest::RunAttempts() {
  while (!waker_->caller_gone()) {
    DropLostSilent();
    const auto attempted =
        HasSilentGoneOn() ? std::optional(ResumeSilent()) : RunNextAttempt();
    if (!attempted || attempted->step_ == Step::kAnswered) {
      return;
    }
    const AttemptResult& ended = *attempted;
    last_failure_ = ended.reason_;
    if (ended.step_ == Step::kSilentWentOn) {
      ++runs_;
      continue;
    }
    if (!MayRetry(ended)) {
      RefuseAfterFailure();
      return;
    }
    if (ended.step_ == Step::kInputsGone) {
      if (!RunStages()) {
        return;
      }
      tried_.clear();
      if (silent_) {
        tried_.push_back(silent_->server());
      }
      continue;
    }
    // The results of the stages may have been freed. When the stages cannot run
    // again, RunStages() has ended the request; a second refusal here would be
    // taken as the response to the next request on the connection.
    if (stages_.HasWork() && inputs_freed_ && !RunStages()) {
      return;
    }
  }
}

std::optional<RelayRequest::AttemptResult> RelayRequest::RunNextAttempt() {
  if (SteadyNow() >= job_->deadline_) {
    Refuse(RefusalReason::kDeadlineExceeded);
    return std::nullopt;
  }
  if (RefuseIfBlocked(true) || (ShouldForward() && TryPeers())) {
    return std::nullopt;
  }
  const BackendServer* server = ChooseWithRoom();
  if (server == nullptr) {
    ReturnTrial();
    RefuseWithoutServer();
    return std::nullopt;
  }
  return RunAttempt(*server);
}

RelayRequest::AttemptResult RelayRequest::RunAttempt(
    const BackendServer& server) {
  const TimePoint now = SteadyNow();
  const std::string id = server.id_;
  StageCallSpec spec = SpecFor(server.address_, request_->method_,
                               request_->target_, job_->deadline_);
  ServerCallHead head;
  head.time_left_ = job_->deadline_ - now;
  head.server_name_ = server.name_;
  head.account_ = job_->account_;
  if (service_->engine_) {
    head.urgency_ = Urgency();
  }
  head.inputs_ = stages_.Inputs();
  head.last_event_ = events_.last_event();
  spec.host_ = job_->head_.host_;
  spec.headers_ = context_->dialect_->write_call_(
      ForwardedHeaders(request_->headers_), head);
  spec.body_ = request_->body_;
  // A server may close an idle connection just as a call arrives, which may
  // then have run: a call that must not be repeated uses a new connection. A
  // late duplicate reply to an earlier call of this request has the same
  // request id, so later calls use connections on which none can arrive.
  spec.fresh_connection_ = !job_->route_->MayRepeat() || has_called_;
  has_called_ = true;
  // Incarnations of a server share no connections.
  spec.connection_group_ = id;
  tried_.push_back(id);
  last_server_ = id;
  called_ = server;
  auto call = std::make_unique<ServerAttempt>(
      context_, waker_, std::move(spec),
      ServerAttempt::Names{job_->head_.request_id_, service_->name_, id},
      &*sends_);
  const ServerAttempt& attempt = *call;
  const bool is_trial = is_trial_;
  NoteStart(id);
  const AttemptResult ended = Relay(call.get());
  const bool is_cancelled =
      waker_->caller_gone() || ended.step_ == Step::kSilentWentOn;
  const CallOutcome outcome = attempt.is_done() ? attempt.outcome()
                              : is_cancelled    ? CallOutcome::kCancelled
                                                : CallOutcome::kTimeout;
  const bool refused = attempt.has_head() && attempt.reply().not_run_;
  if (!attempt.was_sent() || refused) {
    ReturnTrial();
  }
  const bool failed =
      attempt.has_head() && attempt.status() >= kFirstServerError && !refused;
  const CallOutcome counted = refused  ? CallOutcome::kRejected
                              : failed ? CallOutcome::kServerError
                                       : outcome;
  NoteEnd(id, counted, PromisesNotRun(attempt.status()), SteadyNow() - now);
  if (!attempt.has_head()) {
    context_->reach_->OnCallEnd(outcome);
  }
  context_->metrics_->Count(kAttemptsTotal,
                            {service_->name_, ToString(counted)});
  CalledServer called{called_, had_first_event_, first_event_at_, is_trial};
  if (ended.step_ == Step::kSilent) {
    silent_.emplace(std::move(call), std::move(called), events_);
  } else {
    NoteSurvival(called, attempt);
  }
  return ended;
}

bool RelayRequest::MayRetry(const AttemptResult& ended) {
  const bool goes_on = IsRetryable(ended) && sends_->Reserve();
  if (goes_on) {
    context_->metrics_->Count(kRetriesTotal, {ended.reason_, service_->name_});
  }
  LogRetry(ended, goes_on);
  return goes_on;
}

bool RelayRequest::IsRetryable(const AttemptResult& ended) {
  const bool is_late = SteadyNow() >= job_->deadline_;
  switch (ended.step_) {
    case Step::kInputsGone:
      return stage_reruns_++ < kMaxStageReruns && !is_late;
    case Step::kNotRun: {
      const bool arrived = ended.reason_ == "server refused";
      refusals_ += arrived ? 1 : 0;
      return ended.reason_ != kNoRepeatLeft &&
             (!arrived || (!is_late && refusals_ <= kMaxRefusals));
    }
    default:
      verdict_ = RaiseVerdict(verdict_, Verdict::kMayHaveRun);
      ++runs_;
      events_.DropPartial();
      return !is_late && job_->route_->MayRepeat() &&
             runs_ < job_->route_->max_attempts_;
  }
}

void RelayRequest::LogRetry(const AttemptResult& ended, bool goes_on) {
  const TimePoint now = SteadyNow();
  context_->log_->Write(
      "relay", goes_on ? "retry" : "gave up",
      {{"request", job_->head_.request_id_},
       {"server", last_server_},
       {"version", called_.version_},
       {"why", ended.reason_},
       {"content", ended.step_ == Step::kMayHaveRun ? Fingerprint().digest_
                                                    : std::string()},
       {"segments", SegmentIds(job_->head_.prompt_)},
       {"verdict", ToString(verdict_)},
       {"runs", runs_},
       {"after_ms", Elapsed()},
       {"sent", static_cast<uint64_t>(sends_->sent())},
       {"repeats", static_cast<uint64_t>(budget_->repeats(now))},
       {"first_sends", static_cast<uint64_t>(budget_->first_sends(now))},
       {"counted_ms", budget_->CountedFor(now)},
       {"gateways", static_cast<uint64_t>(context_->view_->GatewayCount())},
       {"list_age_ms", context_->view_->ServersAge(now).value_or(Duration())}});
}

void RelayRequest::Finish(std::string_view outcome, int status) {
  finished_ = true;
  const TimePoint now = SteadyNow();
  context_->metrics_->Count(kRequestsTotal,
                            {job_->route_->name_, job_->account_, outcome});
  context_->metrics_->Observe(kRequestSeconds, {job_->route_->name_},
                              Elapsed());
  context_->log_->Write(
      "relay", "request ended",
      {{"request", job_->head_.request_id_},
       {"route", job_->route_->name_},
       {"account", job_->account_},
       {"priority", job_->priority_},
       {"late", stages_.is_late() ? "yes" : "no"},
       {"outcome", outcome},
       {"status", status},
       {"verdict", ToString(verdict_)},
       {"server", last_server_},
       {"version", called_.version_},
       {"resumes", job_->head_.resumed_attempt_},
       {"tried", static_cast<uint64_t>(tried_.size())},
       {"last_failure", last_failure_},
       {"content", fingerprint_ ? fingerprint_->digest_ : std::string()},
       {"stages_in", stage_domain_},
       {"stages_ms", stages_time_},
       {"stages_expected_ms", expected_},
       {"first_event_ms", first_event_time_},
       {"room_wait_ms", room_wait_},
       {"took_ms", Elapsed()},
       {"target_ms", job_->target_ - job_->arrived_},
       {"limit_ms", job_->deadline_ - job_->arrived_},
       {"events", events_.events()},
       {"config", job_->config_->version()},
       {"list_age_ms", context_->view_->ServersAge(now).value_or(Duration())}});
}

Duration RelayRequest::Elapsed() const {
  return SteadyNow() - job_->arrived_;
}

}  // namespace citronlane
