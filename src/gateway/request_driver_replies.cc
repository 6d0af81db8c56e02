#include "citronlane/gateway/request_driver.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/gateway/crash_guard.h"
#include "citronlane/gateway/detail/in_flight_call.h"
#include "citronlane/gateway/driver_context.h"
#include "citronlane/transport/detail/header_name.h"
#include "citronlane/transport/stage_adapter.h"

namespace citronlane {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

CallOutcome OutcomeOfStatus(int status) {
  const bool rejected =
      status == kStatusTooManyRequests || status == kStatusUnavailable;
  return rejected ? CallOutcome::kRejected : CallOutcome::kServerError;
}

/// Whether a header of a service's reply is forwarded to the caller.
bool IsForwardedHeader(std::string_view name) {
  constexpr std::string_view kForwarded[] = {
      "Cache-Control", "Content-Language", "ETag", "Last-Modified",
      "Location",      "Retry-After",      "Vary"};
  return std::any_of(std::begin(kForwarded), std::end(kForwarded),
                     [name](std::string_view forwarded) {
                       return detail::SameHeaderName(forwarded, name);
                     });
}

}  // namespace

bool RequestDriver::OnHead(const InFlightCallPtr& call,
                           const StageReplyHead& head) {
  const TimePoint now = SteadyNow();
  if (head.load_) {
    call->pool_->OnLoadReport(call->server_.id_, now, head.load_age_,
                              *head.load_);
  }
  if (head.draining_) {
    context_->on_leaving_(call->server_.id_);
  }
  call->head_ = head;
  context_->crashes_->OnAlive(call->Endpoint());
  if (!call->reader_) {
    return true;
  }
  if (head.status_ != kStatusOk) {
    FailCall(call, OutcomeOfStatus(head.status_));
    return false;
  }
  const bool accepted = request_.OnStreamHead(call->id_, head.echoed_id_, now);
  ReportDrops(call);
  if (!accepted) {
    CompleteCall(call, CallOutcome::kWrongId);
    Pump();
  }
  return accepted;
}

void RequestDriver::OnData(const InFlightCallPtr& call,
                           std::string_view fragment) {
  const bool usable = call->reader_->Feed(fragment);
  if (!usable && !call->ended_) {
    call->stage_call_->Cancel();
    FailCall(call, CallOutcome::kServerError);
  }
}

bool RequestDriver::OnToken(const InFlightCallPtr& call, const Token& token) {
  const TimePoint now = SteadyNow();
  if (call->ended_) {
    return true;
  }
  if (!call->first_byte_) {
    call->first_byte_ = true;
    call->first_byte_at_ = now;
    call->pool_->OnFirstByte(call->server_.id_, now, now - call->started_);
  }
  ++call->tokens_;
  request_.OnToken(call->id_, token, now);
  ReportDrops(call);
  if (request_.finished() || request_.stage() != call->id_.stage_) {
    CompleteCall(call, CallOutcome::kSuccess);
  }
  Pump();
  return true;
}

void RequestDriver::OnDone(const InFlightCallPtr& call,
                           CallOutcome outcome,
                           std::string body) {
  if (call->ended_) {
    return;
  }
  if (outcome != CallOutcome::kSuccess) {
    FailCall(call, outcome);
  } else if (call->reader_) {
    // The stream ended before the token that finishes the stage.
    FailCall(call, CallOutcome::kClosedAfterSend);
  } else if (job_.service_call_) {
    HandleServiceReply(call, std::move(body));
  } else {
    HandleReply(call, body);
  }
}

void RequestDriver::HandleReply(const InFlightCallPtr& call,
                                std::string_view body) {
  if (call->head_.status_ != kStatusOk) {
    FailCall(call, OutcomeOfStatus(call->head_.status_));
    return;
  }
  Error error;
  const uint32_t stage = call->id_.stage_;
  auto output = StageAdapter(PoolOf(stage).kind_)
                    .ReadReply(body, request_.output(), &error);
  if (!output) {
    FailCall(call, CallOutcome::kServerError);
    return;
  }
  const bool own = call->head_.echoed_id_ == call->id_.ToHeader();
  CompleteCall(call, own ? CallOutcome::kSuccess : CallOutcome::kWrongId);
  request_.OnResult(
      StageResult{call->id_, call->head_.echoed_id_, *std::move(output)},
      SteadyNow());
  ReportDrops(call);
  Pump();
}

void RequestDriver::HandleServiceReply(const InFlightCallPtr& call,
                                       std::string body) {
  const StagePlan& plan = job_.plan_.stages_[call->id_.stage_];
  const int status = call->head_.status_;
  const bool rejected =
      OutcomeOfStatus(status) == CallOutcome::kRejected &&
      (!plan.non_idempotent_ || plan.rejection_means_not_run_);
  const bool failed =
      !plan.non_idempotent_ &&
      (status == kStatusBadGateway || status == kStatusGatewayTimeout);
  if (rejected || failed) {
    FailCall(call, OutcomeOfStatus(status));
    return;
  }
  // A plain service doesn't have to echo the attempt id, but a wrong id is an
  // error. A connection is kept only after a reply that echoed the id, so a
  // reply without it on a kept connection is a late reply to an earlier call.
  const std::string own_id = call->id_.ToHeader();
  std::string echoed = call->head_.echoed_id_;
  if (echoed.empty() && !call->head_.reused_connection_) {
    echoed = own_id;
  }
  if (echoed == own_id) {
    HttpReply reply;
    reply.status_ = status;
    reply.content_type_.clear();
    for (const HttpHeader& header : call->head_.headers_) {
      if (detail::SameHeaderName(header.name_, "Content-Type")) {
        reply.content_type_ = header.value_;
      } else if (IsForwardedHeader(header.name_)) {
        reply.headers_.push_back(header);
      }
    }
    reply.body_ = std::move(body);
    service_reply_ = std::move(reply);
  }
  CompleteCall(
      call, echoed == own_id ? CallOutcome::kSuccess : CallOutcome::kWrongId);
  request_.OnResult(StageResult{call->id_, std::move(echoed), {}}, SteadyNow());
  ReportDrops(call);
  Pump();
}

void RequestDriver::FailCall(const InFlightCallPtr& call, CallOutcome outcome) {
  CompleteCall(call, outcome);
  request_.OnFailure(call->id_, outcome, SteadyNow());
  Pump();
}

void RequestDriver::ReportDrops(const InFlightCallPtr& call) {
  const RequestCounters& now = request_.counters();
  const auto report = [&](uint32_t count, uint32_t* known,
                          std::string_view why) {
    for (; *known < count; ++*known) {
      context_->on_drop_(call->pool_name_, why);
    }
  };
  report(now.late_results_, &reported_.late_results_, "late");
  report(now.wrong_ids_, &reported_.wrong_ids_, "wrong_id");
  report(now.duplicate_tokens_, &reported_.duplicate_tokens_,
         "duplicate_token");
  report(now.stream_gaps_, &reported_.stream_gaps_, "stream_gap");
}

void RequestDriver::CompleteCall(const InFlightCallPtr& call,
                                 CallOutcome outcome) {
  if (call->ended_) {
    return;
  }
  call->ended_ = true;
  call->hedge_timer_.cancel();
  const TimePoint now = SteadyNow();
  const Duration latency = now - call->started_;
  call->pool_->OnFinish(call->server_.id_, now, outcome, latency, call->tokens_,
                        call->shape_);
  NoteCrash(*call, outcome);
  context_->on_call_(call->pool_name_, outcome, latency, call->tokens_,
                     call->pool_->in_flight());
  if (call->hedge_) {
    context_->on_hedge_(call->pool_name_, outcome == CallOutcome::kSuccess);
  }
  in_flight_calls_.erase(
      std::remove(in_flight_calls_.begin(), in_flight_calls_.end(), call),
      in_flight_calls_.end());
}

// The end of a server that drains is planned and counts against no request.
void RequestDriver::NoteCrash(const detail::InFlightCall& call,
                              CallOutcome outcome) {
  const bool ran_on = call.first_byte_ && SteadyNow() - call.first_byte_at_ >=
                                              CrashWatch::kSurvivalTime;
  if (outcome == CallOutcome::kClosedAfterSend && !call.head_.draining_ &&
      !ran_on) {
    context_->crashes_->OnBroken(call.server_.id_, call.Endpoint(),
                                 job_.fingerprint_());
  }
}

RequestDriver::InFlightCallPtr RequestDriver::FindCall(
    const AttemptId& attempt) const {
  const auto found = std::find_if(
      in_flight_calls_.begin(), in_flight_calls_.end(),
      [&attempt](const InFlightCallPtr& call) { return call->id_ == attempt; });
  return found == in_flight_calls_.end() ? nullptr : *found;
}

}  // namespace citronlane
