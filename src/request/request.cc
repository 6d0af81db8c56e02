#include "citronlane/request/request.h"

#include <algorithm>
#include <utility>

namespace citronlane {

Request::Request(RequestPlan plan, RequestHooks hooks)
    : plan_(std::move(plan)), hooks_(std::move(hooks)) {}

void Request::Start(TimePoint now) {
  StartStage(now);
}

void Request::OnPlaced(const AttemptId& attempt, std::string_view server) {
  if (Attempt* open = FindOpen(attempt)) {
    open->server_ = std::string(server);
  }
}

void Request::OnNoServer(const AttemptId& attempt, TimePoint now) {
  EndUnplaced(attempt, now >= plan_.deadline_
                           ? RefusalReason::kDeadlineExceeded
                           : RefusalReason::kNoBackendServer);
}

void Request::OnBlocked(const AttemptId& attempt) {
  EndUnplaced(attempt, RefusalReason::kCrashesServers);
}

void Request::EndUnplaced(const AttemptId& attempt, RefusalReason reason) {
  Attempt* open = FindOpen(attempt);
  if (open == nullptr) {
    return;
  }
  CloseAttempt(open, Verdict::kNotRun);
  if (!HasOpen()) {
    FinishFailed(reason);
  }
}

bool Request::OnSending(const AttemptId& attempt) {
  Attempt* open = FindOpen(attempt);
  if (open == nullptr) {
    return false;
  }
  open->sent_ = true;
  return true;
}

void Request::OnResult(StageResult result, TimePoint now) {
  Attempt* open = FindOpenOrCountLate(result.attempt_);
  if (open == nullptr) {
    return;
  }
  if (result.echoed_id_ != result.attempt_.ToHeader()) {
    ++counters_.wrong_ids_;
    FailAttempt(open, CallOutcome::kWrongId, now);
    return;
  }
  if (Plan().streams_) {
    FailAttempt(open, CallOutcome::kServerError, now);
    return;
  }
  CompleteStage(open, std::move(result.output_), now);
}

bool Request::OnStreamHead(const AttemptId& attempt,
                           std::string_view echoed_id,
                           TimePoint now) {
  Attempt* open = FindOpenOrCountLate(attempt);
  if (open == nullptr) {
    return false;
  }
  if (echoed_id != attempt.ToHeader()) {
    ++counters_.wrong_ids_;
    commands_.emplace_back(CancelCall{attempt});
    FailAttempt(open, CallOutcome::kWrongId, now);
    return false;
  }
  return true;
}

void Request::OnToken(const AttemptId& attempt,
                      const Token& token,
                      TimePoint now) {
  Attempt* open = FindOpenOrCountLate(attempt);
  if (open == nullptr) {
    return;
  }
  switch (assembly_.Accept(token)) {
    case StreamAssembly::AcceptResult::kDuplicate:
      ++counters_.duplicate_tokens_;
      return;
    case StreamAssembly::AcceptResult::kGap:
      ++counters_.stream_gaps_;
      commands_.emplace_back(CancelCall{attempt});
      FailAttempt(open, CallOutcome::kServerError, now);
      return;
    case StreamAssembly::AcceptResult::kAccepted:
      break;
  }
  ++open->tokens_;
  CancelOthers(open->number_);
  if (IsLastStage()) {
    commands_.emplace_back(EmitText{token.offset_, token.text_});
  }
  if (!token.finish_reason_.empty()) {
    StageOutput output;
    output.text_ = assembly_.text();
    output.finish_reason_ = token.finish_reason_;
    CompleteStage(open, std::move(output), now);
  }
}

void Request::OnFailure(const AttemptId& attempt,
                        CallOutcome outcome,
                        TimePoint now) {
  if (Attempt* open = FindOpenOrCountLate(attempt)) {
    FailAttempt(open, outcome, now);
  }
}

void Request::OnHedgeTime(const AttemptId& attempt, TimePoint now) {
  const Attempt* open = FindOpen(attempt);
  if (open == nullptr || Plan().non_idempotent_ || now >= plan_.deadline_) {
    return;
  }
  const auto open_calls =
      std::count_if(attempts_.begin(), attempts_.end(),
                    [](const Attempt& other) { return other.open_; });
  if (open_calls > 1 || assembly_.next_offset() > 0 ||
      AttemptCount(stage_) >= plan_.max_attempts_ ||
      !hooks_.take_hedge_(stage_)) {
    return;
  }
  ++counters_.hedges_;
  PushCall(CallMode::kFresh, true, nullptr);
}

void Request::OnDeadline() {
  Finish(false, RefusalReason::kDeadlineExceeded);
}

void Request::OnCallerGone() {
  Finish(false, RefusalReason::kCallerGone);
}

std::vector<RequestCommand> Request::TakeCommands() {
  return std::exchange(commands_, {});
}

Verdict Request::verdict() const {
  const bool in_flight = std::any_of(
      attempts_.begin(), attempts_.end(),
      [](const Attempt& attempt) { return attempt.open_ && attempt.sent_; });
  return in_flight ? RaiseVerdict(closed_verdict_, Verdict::kMayHaveRun)
                   : closed_verdict_;
}

uint32_t Request::sent_calls(uint32_t stage) const {
  return static_cast<uint32_t>(std::count_if(
      attempts_.begin(), attempts_.end(), [stage](const Attempt& attempt) {
        return attempt.stage_ == stage && attempt.sent_;
      }));
}

uint64_t Request::stage_tokens(uint32_t stage) const {
  uint64_t tokens = 0;
  for (const Attempt& attempt : attempts_) {
    tokens += attempt.stage_ == stage ? attempt.tokens_ : 0;
  }
  return tokens;
}

Attempt* Request::FindOpen(const AttemptId& id) {
  if (id.request_ != plan_.id_) {
    return nullptr;
  }
  const auto found = std::find_if(
      attempts_.begin(), attempts_.end(), [&id](const Attempt& attempt) {
        return attempt.open_ && attempt.stage_ == id.stage_ &&
               attempt.number_ == id.attempt_;
      });
  return found == attempts_.end() ? nullptr : &*found;
}

Attempt* Request::FindOpenOrCountLate(const AttemptId& id) {
  Attempt* open = FindOpen(id);
  if (open == nullptr) {
    ++counters_.late_results_;
  }
  return open;
}

bool Request::HasOpen() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](const Attempt& attempt) { return attempt.open_; });
}

AttemptId Request::AttemptIdOf(const Attempt& attempt, uint32_t number) const {
  return AttemptId{plan_.id_, attempt.stage_, number};
}

uint32_t Request::AttemptCount(uint32_t stage) const {
  return static_cast<uint32_t>(std::count_if(
      attempts_.begin(), attempts_.end(),
      [stage](const Attempt& attempt) { return attempt.stage_ == stage; }));
}

std::vector<std::string> Request::UsedServers() const {
  std::vector<std::string> servers;
  for (const Attempt& attempt : attempts_) {
    if (attempt.stage_ == stage_ && !attempt.server_.empty()) {
      servers.push_back(attempt.server_);
    }
  }
  return servers;
}

void Request::StartStage(TimePoint now) {
  if (now >= plan_.deadline_) {
    Finish(false, RefusalReason::kDeadlineExceeded);
    return;
  }
  assembly_ = StreamAssembly();
  PushCall(CallMode::kFresh, false, nullptr);
}

void Request::PushCall(CallMode mode, bool hedge, const Attempt* resumed) {
  Attempt attempt;
  attempt.stage_ = stage_;
  attempt.number_ = AttemptCount(stage_);
  attempt.stream_ = attempt.number_;
  attempt.mode_ = mode;
  attempt.hedge_ = hedge;

  StartCall call;
  call.attempt_ = AttemptIdOf(attempt, attempt.number_);
  call.mode_ = mode;
  call.hedge_ = hedge;
  call.offset_ = assembly_.next_offset();
  if (mode == CallMode::kResume) {
    attempt.stream_ = resumed->stream_;
    call.server_ = resumed->server_;
    call.resumed_ = AttemptIdOf(*resumed, resumed->stream_);
  } else {
    call.excluded_ = UsedServers();
  }
  attempts_.push_back(std::move(attempt));
  const AttemptId id = call.attempt_;
  commands_.emplace_back(std::move(call));
  if (mode == CallMode::kFresh && !hedge && !Plan().non_idempotent_) {
    commands_.emplace_back(ArmHedge{id});
  }
}

void Request::CloseAttempt(Attempt* attempt, Verdict verdict) {
  attempt->open_ = false;
  closed_verdict_ = RaiseVerdict(closed_verdict_, verdict);
}

void Request::CancelAttempt(Attempt* attempt) {
  CloseAttempt(attempt,
               attempt->sent_ ? Verdict::kMayHaveRun : Verdict::kNotRun);
  commands_.emplace_back(CancelCall{AttemptIdOf(*attempt, attempt->number_)});
}

void Request::CancelOthers(uint32_t winner) {
  for (Attempt& attempt : attempts_) {
    if (attempt.open_ && attempt.number_ != winner) {
      CancelAttempt(&attempt);
    }
  }
}

bool Request::ProvenNotRun(const Attempt& attempt, CallOutcome outcome) const {
  return !attempt.sent_ ||
         (outcome == CallOutcome::kRejected && Plan().rejection_means_not_run_);
}

void Request::FailAttempt(Attempt* attempt,
                          CallOutcome outcome,
                          TimePoint now) {
  CloseAttempt(attempt, ProvenNotRun(*attempt, outcome) ? Verdict::kNotRun
                                                        : Verdict::kMayHaveRun);
  if (HasOpen()) {
    return;
  }
  const Attempt failed = *attempt;
  RetryOrFinish(failed, outcome, now);
}

void Request::RetryOrFinish(const Attempt& failed,
                            CallOutcome outcome,
                            TimePoint now) {
  if (now >= plan_.deadline_) {
    Finish(false, RefusalReason::kDeadlineExceeded);
    return;
  }
  const bool may_repeat =
      !Plan().non_idempotent_ || ProvenNotRun(failed, outcome);
  if (!may_repeat || AttemptCount(stage_) >= plan_.max_attempts_) {
    FinishFailed(RefusalReason::kStageFailed);
    return;
  }
  const CallMode mode = NextMode(failed, outcome);
  const RetryReason reason = ReasonOf(mode, outcome);
  if (!hooks_.take_retry_(stage_, reason)) {
    FinishFailed(RefusalReason::kRetryBudgetExhausted);
    return;
  }
  ++counters_.retries_[static_cast<size_t>(reason)];
  PushCall(mode, false, &failed);
}

CallMode Request::NextMode(const Attempt& failed, CallOutcome outcome) const {
  if (assembly_.next_offset() == 0) {
    return CallMode::kFresh;
  }
  // A server that stopped sending or confused its replies is not used again.
  const bool server_usable = failed.tokens_ > 0 &&
                             outcome != CallOutcome::kTimeout &&
                             outcome != CallOutcome::kWrongId;
  return server_usable ? CallMode::kResume : CallMode::kContinue;
}

void Request::CompleteStage(Attempt* attempt,
                            StageOutput output,
                            TimePoint now) {
  attempt->sent_ = true;
  CloseAttempt(attempt, Verdict::kRan);
  counters_.hedge_wins_ += attempt->hedge_ ? 1 : 0;
  CancelOthers(attempt->number_);
  Merge(std::move(output));
  if (IsLastStage()) {
    Finish(true, RefusalReason::kInternal);
    return;
  }
  ++stage_;
  StartStage(now);
}

void Request::Merge(StageOutput output) {
  if (output.embedding_) {
    output_.embedding_ = std::move(output.embedding_);
  }
  if (output.documents_) {
    output_.documents_ = std::move(output.documents_);
  }
  if (output.text_) {
    output_.text_ = std::move(output.text_);
    output_.finish_reason_ = std::move(output.finish_reason_);
  }
}

void Request::FinishFailed(RefusalReason reason) {
  const bool broken_stream = assembly_.next_offset() > 0;
  Finish(false, broken_stream ? RefusalReason::kStreamBroken : reason);
}

void Request::Finish(bool complete, RefusalReason reason) {
  if (finished_) {
    return;
  }
  finished_ = true;
  for (Attempt& attempt : attempts_) {
    if (attempt.open_) {
      CancelAttempt(&attempt);
    }
  }
  commands_.emplace_back(FinishRequest{complete, reason, verdict(), stage_});
}

}  // namespace citronlane
