#include "citronlane/gateway/caller_handler.h"

#include <utility>

#include "citronlane/base/sha256.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/gateway/admission_estimate.h"
#include "citronlane/gateway/admission_gate.h"
#include "citronlane/gateway/crash_guard.h"
#include "citronlane/gateway/driver_context.h"
#include "citronlane/gateway/refusal_writer.h"
#include "citronlane/gateway/request_driver.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

/// A caller that leaves more streamed text than this unsent counts as gone.
constexpr size_t kMaxPendingTextBytes = size_t{1024} * 1024;
/// A block lasts minutes; sooner the same request is refused again.
constexpr Duration kBlockedRetryAfter = std::chrono::seconds(60);
constexpr std::string_view kEventStream = "text/event-stream";

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

CallerHandler::CallerHandler(const CallerServiceParts& parts,
                             const DriverContext& context,
                             const HttpRequest& http,
                             CallerRequest request,
                             RefusalContext refusal_context,
                             HttpExchange* exchange)
    : parts_(parts),
      context_(context),
      http_(http),
      request_(std::move(request)),
      refusal_context_(std::move(refusal_context)),
      exchange_(exchange),
      start_(SteadyNow()),
      writer_(request_.kind_,
              refusal_context_.request_id_,
              request_.target_,
              refusal_context_.config_version_) {}

CallerHandler::~CallerHandler() = default;

void CallerHandler::Run() {
  if (context_.crashes_->IsBlocked(
          http_.body_.size(),
          [this]() -> const RequestFingerprint& { return Fingerprint(); })) {
    Refuse(RefusalReason::kCrashesServers, Verdict::kNotRun, "");
    return;
  }
  if (!request_.idempotency_key_.empty() && !TakeClaim()) {
    return;
  }
  if (!Admit()) {
    return;
  }
  refusal_context_.admitted_ = true;
  Drive();
  const RequestSummary summary = Summarize();
  parts_.admission_->OnFinish(SteadyNow(), query_, summary.Cost(),
                              summary.met_target_);
  parts_.on_request_(summary);
  if (finish_->complete_) {
    // Only the servers of all stages together show that none crashes.
    context_.crashes_->OnSurvived(
        http_.body_.size(),
        [this]() -> const RequestFingerprint& { return Fingerprint(); });
    SendCompleteResponse();
  } else {
    SendFailure();
  }
}

CrashGuard::FingerprintHook CallerHandler::FingerprintHook() {
  return [this]() -> const RequestFingerprint& { return Fingerprint(); };
}

// Computed on first use: only failed calls need it. The host is left out, since
// nothing here depends on it and callers may reach gateways under several.
const RequestFingerprint& CallerHandler::Fingerprint() {
  if (!fingerprint_) {
    fingerprint_ = FingerprintOf(http_.method_, "", http_.target_,
                                 request_.account_->name_, http_.body_);
  }
  return *fingerprint_;
}

bool CallerHandler::TakeClaim() {
  ClaimQuery query;
  query.account_ = request_.account_->name_;
  query.key_ = request_.idempotency_key_;
  query.body_digest_ = Sha256(http_.method_ + "\n" + http_.target_ + "\n" +
                              std::string(http_.body_));
  claim_ = std::make_unique<RequestClaim>(std::move(query), parts_.hooks_,
                                          context_.io_, exchange_,
                                          parts_.stored_answer_bytes_);
  ClaimAnswer answer = claim_->Take();
  if (answer.result_ != ClaimAnswer::Result::kGranted) {
    claim_.reset();
    RespondToClaim(std::move(answer));
    return false;
  }
  if (exchange_->caller_gone()) {
    claim_->Release();
    return false;
  }
  return true;
}

void CallerHandler::RespondToClaim(ClaimAnswer answer) {
  switch (answer.result_) {
    case ClaimAnswer::Result::kUnavailable:
      Refuse(RefusalReason::kControlUnreachable, Verdict::kNotRun,
             "this delivery was not run; an earlier one with the same key is "
             "not known of");
      return;
    case ClaimAnswer::Result::kRunning:
      Refuse(RefusalReason::kIdempotentRequestRunning, Verdict::kMayHaveRun,
             "");
      return;
    case ClaimAnswer::Result::kKeyReused:
      Refuse(RefusalReason::kIdempotencyKeyReused, Verdict::kNotRun, "");
      return;
    case ClaimAnswer::Result::kOwnerLost:
      Refuse(RefusalReason::kIdempotentOwnerLost, Verdict::kMayHaveRun, "");
      return;
    case ClaimAnswer::Result::kFinished:
    case ClaimAnswer::Result::kGranted:
      break;
  }
  if (answer.answer_dropped_) {
    Refuse(RefusalReason::kStoredAnswerTooLarge, Verdict::kRan, "");
    return;
  }
  HttpReply reply;
  reply.status_ = answer.stored_.status_;
  reply.content_type_ = answer.stored_.content_type_;
  reply.headers_ = writer_.Headers();
  reply.headers_.push_back({"Idempotency-Replayed", "true"});
  reply.body_ = std::move(answer.stored_.body_);
  exchange_->Reply(reply);
}

bool CallerHandler::Admit() {
  const TimePoint now = SteadyNow();
  query_ = EstimateForAdmission(request_, *parts_.pools_, now);
  const std::optional<Refusal> refusal = parts_.admission_->Admit(now, query_);
  if (!refusal) {
    return true;
  }
  if (claim_ != nullptr) {
    claim_->Release();
  }
  exchange_->Reply(parts_.refusals_->Write(refusal_context_, *refusal,
                                           Verdict::kNotRun, ""));
  return false;
}

void CallerHandler::Drive() {
  driver_ = std::make_shared<RequestDriver>(&context_, MakeJob());
  driver_->Start();
  // A claimed request runs to its end even if the caller disconnects, so that
  // a repeated request with its key gets the answer.
  bool watch_caller = claim_ == nullptr;
  while (!finish_) {
    exchange_->Wait();
    FlushText();
    const bool stalled = pending_text_.size() > kMaxPendingTextBytes;
    if (watch_caller && (stalled || exchange_->caller_gone())) {
      watch_caller = false;
      driver_->CallerGone();
    }
  }
}

DriverJob CallerHandler::MakeJob() {
  DriverJob job;
  job.config_ = request_.config_;
  job.plan_ = MakePlan();
  job.stages_ = request_.stages_;
  job.input_ = request_.input_;
  if (request_.kind_ == CallerRequest::Kind::kService) {
    job.service_call_ = http_;
    job.service_call_->target_ = request_.service_target_;
  }
  job.may_hedge_ = [this] {
    return !request_.class_->batch_ && !parts_.admission_->SpendIsTight(
                                           SteadyNow(), request_.class_->name_);
  };
  job.fingerprint_ = FingerprintHook();
  job.body_bytes_ = http_.body_.size();
  if (request_.stream_) {
    job.on_text_ = [this](const EmitText& text) {
      pending_text_ += writer_.TextEvent(text);
      exchange_->Notify();
    };
  }
  job.on_finish_ = [this](const FinishRequest& finish) {
    finish_ = finish;
    exchange_->Notify();
  };
  return job;
}

RequestPlan CallerHandler::MakePlan() const {
  RequestPlan plan;
  plan.id_ = refusal_context_.request_id_;
  plan.deadline_ = start_ + request_.deadline_;
  for (const StageConfig& stage : request_.stages_) {
    const PoolConfig& pool = request_.config_->pools_.at(stage.pool_);
    plan.stages_.push_back(
        StagePlan{stage.name_, pool.kind_ == StageKind::kEngine,
                  stage.non_idempotent_, pool.rejection_means_not_run_});
  }
  return plan;
}

void CallerHandler::FlushText() {
  if (!pending_text_.empty() && !exchange_->caller_gone()) {
    SendStream(std::exchange(pending_text_, {}));
  }
}

bool CallerHandler::SendStream(std::string_view bytes) {
  if (claim_ != nullptr) {
    sent_text_ += bytes;
  }
  if (!stream_started_) {
    stream_started_ = true;
    HttpReply head;
    head.content_type_ = std::string(kEventStream);
    head.headers_ = writer_.Headers();
    head.headers_.push_back({"Cache-Control", "no-store"});
    if (!exchange_->StartStream(head)) {
      return false;
    }
  }
  return exchange_->Write(bytes);
}

void CallerHandler::SendCompleteResponse() {
  if (request_.stream_) {
    SendFinalEvents();
    return;
  }
  const HttpReply reply = MakeCompleteResponse();
  if (claim_ != nullptr) {
    StoreAnswer(reply.status_, reply.content_type_, reply.body_);
  }
  exchange_->Reply(reply);
}

void CallerHandler::SendFinalEvents() {
  const std::string last =
      writer_.FinalEvents(driver_->request().output(), driver_->Costs());
  const std::string bytes = std::exchange(pending_text_, {}) + last;
  if (claim_ != nullptr) {
    StoreAnswer(200, std::string(kEventStream), sent_text_ + bytes);
  }
  if (SendStream(bytes)) {
    exchange_->EndStream();
  }
}

void CallerHandler::StoreAnswer(int status,
                                std::string content_type,
                                std::string body) {
  if (body.size() <= parts_.stored_answer_bytes_) {
    claim_->Finish(
        StoredAnswer{status, std::move(content_type), std::move(body)});
    return;
  }
  Refusal refusal;
  refusal.reason_ = RefusalReason::kStoredAnswerTooLarge;
  refusal.figures_ = {
      {"answer_bytes", static_cast<double>(body.size())},
      {"limit_bytes", static_cast<double>(parts_.stored_answer_bytes_)}};
  HttpReply reply =
      parts_.refusals_->Write(refusal_context_, refusal, Verdict::kRan, "");
  claim_->Finish(StoredAnswer{reply.status_, std::move(reply.content_type_),
                              std::move(reply.body_)});
}

HttpReply CallerHandler::MakeCompleteResponse() const {
  const std::vector<StageCost> costs = driver_->Costs();
  HttpReply reply;
  if (driver_->service_reply()) {
    reply = *driver_->service_reply();
  } else {
    reply.body_ = writer_.CompleteResponse(driver_->request().output(), costs);
  }
  for (HttpHeader& header : writer_.Headers()) {
    reply.headers_.push_back(std::move(header));
  }
  reply.headers_.push_back(ResponseWriter::CostHeader(costs));
  return reply;
}

void CallerHandler::SendFailure() {
  const HttpReply reply = MakeFailure();
  if (claim_ != nullptr) {
    if (finish_->verdict_ == Verdict::kNotRun) {
      claim_->Release();
    } else {
      StoreAnswer(reply.status_, reply.content_type_, reply.body_);
    }
  }
  if (exchange_->caller_gone()) {
    return;
  }
  if (!stream_started_) {
    exchange_->Reply(reply);
    return;
  }
  exchange_->Write(std::exchange(pending_text_, {}) +
                   ResponseWriter::ErrorEvent(reply.body_));
  exchange_->Abort();
}

HttpReply CallerHandler::MakeFailure() {
  const Request& request = driver_->request();
  Refusal refusal;
  refusal.reason_ = finish_->reason_;
  refusal.figures_ = {{"stage", finish_->stage_},
                      {"calls", request.sent_calls(finish_->stage_)},
                      {"tokens_sent", static_cast<double>(request.tokens())},
                      {"elapsed_ms", Milliseconds(SteadyNow() - start_)},
                      {"deadline_ms", Milliseconds(request_.deadline_)}};
  return parts_.refusals_->Write(refusal_context_, refusal, finish_->verdict_,
                                 "");
}

void CallerHandler::Refuse(RefusalReason reason,
                           Verdict verdict,
                           std::string_view detail) {
  Refusal refusal;
  refusal.reason_ = reason;
  if (reason == RefusalReason::kCrashesServers) {
    refusal.retry_after_ = kBlockedRetryAfter;
  }
  exchange_->Reply(
      parts_.refusals_->Write(refusal_context_, refusal, verdict, detail));
}

RequestSummary CallerHandler::Summarize() const {
  RequestSummary summary;
  summary.account_ = request_.account_->name_;
  summary.class_name_ = request_.class_->name_;
  summary.target_ = request_.target_;
  summary.complete_ = finish_->complete_;
  summary.reason_ = finish_->reason_;
  summary.verdict_ = finish_->verdict_;
  summary.answer_time_ = SteadyNow() - start_;
  if (driver_->first_text()) {
    summary.first_token_time_ = *driver_->first_text() - start_;
  }
  summary.costs_ = driver_->Costs();
  summary.counters_ = driver_->request().counters();
  summary.met_target_ = MetTarget(summary);
  return summary;
}

bool CallerHandler::MetTarget(const RequestSummary& summary) const {
  const ClassConfig& target = *request_.class_;
  const bool first_in_time =
      !target.first_token_target_ || !summary.first_token_time_ ||
      *summary.first_token_time_ <= *target.first_token_target_;
  return summary.complete_ && first_in_time &&
         summary.answer_time_ <= target.answer_target_;
}

}  // namespace citronlane
