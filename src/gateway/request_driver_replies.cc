#include "citronlane/gateway/request_driver.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/gateway/detail/call_flight.h"
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

/// Whether a header of a service's reply is for the caller, not for the
/// connection or the gateway.
bool IsPassedOn(std::string_view name) {
  constexpr std::string_view kKept[] = {
      "Cache-Control", "Content-Language", "ETag", "Last-Modified",
      "Location",      "Retry-After",      "Vary"};
  return std::any_of(std::begin(kKept), std::end(kKept),
                     [name](std::string_view kept) {
                       return detail::SameHeaderName(kept, name);
                     });
}

}  // namespace

bool RequestDriver::OnHead(const FlightPtr& flight,
                           const StageReplyHead& head) {
  const TimePoint now = SteadyNow();
  if (head.load_) {
    flight->pool_->OnLoadReport(flight->server_.id_, now, head.load_age_,
                                *head.load_);
  }
  if (head.draining_) {
    context_->on_leaving_(flight->server_.id_);
  }
  flight->head_ = head;
  if (!flight->reader_) {
    return true;
  }
  if (head.status_ != kStatusOk) {
    FailFlight(flight, OutcomeOfStatus(head.status_));
    return false;
  }
  const bool accepted =
      request_.OnStreamHead(flight->id_, head.echoed_id_, now);
  ReportDrops(flight);
  if (!accepted) {
    EndFlight(flight, CallOutcome::kWrongId);
    Pump();
  }
  return accepted;
}

void RequestDriver::OnData(const FlightPtr& flight, std::string_view piece) {
  const bool usable = flight->reader_->Feed(piece);
  if (!usable && !flight->ended_) {
    flight->call_->Cancel();
    FailFlight(flight, CallOutcome::kServerError);
  }
}

bool RequestDriver::OnToken(const FlightPtr& flight, const Token& token) {
  const TimePoint now = SteadyNow();
  if (flight->ended_) {
    return true;
  }
  if (!flight->first_byte_) {
    flight->first_byte_ = true;
    flight->pool_->OnFirstByte(flight->server_.id_, now,
                               now - flight->started_);
  }
  ++flight->tokens_;
  request_.OnToken(flight->id_, token, now);
  ReportDrops(flight);
  if (request_.finished() || request_.stage() != flight->id_.stage_) {
    EndFlight(flight, CallOutcome::kSuccess);
  }
  Pump();
  return true;
}

void RequestDriver::OnDone(const FlightPtr& flight,
                           CallOutcome outcome,
                           std::string body) {
  if (flight->ended_) {
    return;
  }
  if (outcome != CallOutcome::kSuccess) {
    FailFlight(flight, outcome);
  } else if (flight->reader_) {
    // The stream ended without its last token.
    FailFlight(flight, CallOutcome::kClosedAfterSend);
  } else if (job_.service_call_) {
    TakeServiceReply(flight, std::move(body));
  } else {
    TakeReply(flight, body);
  }
}

void RequestDriver::TakeReply(const FlightPtr& flight, std::string_view body) {
  if (flight->head_.status_ != kStatusOk) {
    FailFlight(flight, OutcomeOfStatus(flight->head_.status_));
    return;
  }
  Error error;
  const uint32_t stage = flight->id_.stage_;
  auto output = StageAdapter(PoolOf(stage).kind_)
                    .ReadReply(body, request_.output(), &error);
  if (!output) {
    FailFlight(flight, CallOutcome::kServerError);
    return;
  }
  const bool own = flight->head_.echoed_id_ == flight->id_.ToHeader();
  EndFlight(flight, own ? CallOutcome::kSuccess : CallOutcome::kWrongId);
  request_.OnResult(
      StageResult{flight->id_, flight->head_.echoed_id_, *std::move(output)},
      SteadyNow());
  ReportDrops(flight);
  Pump();
}

void RequestDriver::TakeServiceReply(const FlightPtr& flight,
                                     std::string body) {
  const StagePlan& plan = job_.plan_.stages_[flight->id_.stage_];
  const int status = flight->head_.status_;
  const bool rejected =
      OutcomeOfStatus(status) == CallOutcome::kRejected &&
      (!plan.non_idempotent_ || plan.rejection_means_not_run_);
  const bool failed =
      !plan.non_idempotent_ &&
      (status == kStatusBadGateway || status == kStatusGatewayTimeout);
  if (rejected || failed) {
    FailFlight(flight, OutcomeOfStatus(status));
    return;
  }
  // A plain service need not echo the id; a wrong one is an error. One that did
  // so far, and so had its connection kept, always does: a reply without it is
  // a late one to an earlier call.
  const std::string own_id = flight->id_.ToHeader();
  std::string echoed = flight->head_.echoed_id_;
  if (echoed.empty() && !flight->head_.kept_connection_) {
    echoed = own_id;
  }
  if (echoed == own_id) {
    HttpReply reply;
    reply.status_ = status;
    reply.content_type_.clear();
    for (const HttpHeader& header : flight->head_.headers_) {
      if (detail::SameHeaderName(header.name_, "Content-Type")) {
        reply.content_type_ = header.value_;
      } else if (IsPassedOn(header.name_)) {
        reply.headers_.push_back(header);
      }
    }
    reply.body_ = std::move(body);
    service_reply_ = std::move(reply);
  }
  EndFlight(flight,
            echoed == own_id ? CallOutcome::kSuccess : CallOutcome::kWrongId);
  request_.OnResult(StageResult{flight->id_, std::move(echoed), {}},
                    SteadyNow());
  ReportDrops(flight);
  Pump();
}

void RequestDriver::FailFlight(const FlightPtr& flight, CallOutcome outcome) {
  EndFlight(flight, outcome);
  request_.OnFailure(flight->id_, outcome, SteadyNow());
  Pump();
}

void RequestDriver::ReportDrops(const FlightPtr& flight) {
  const RequestCounters& now = request_.counters();
  const auto report = [&](uint32_t count, uint32_t* known,
                          std::string_view why) {
    for (; *known < count; ++*known) {
      context_->on_drop_(flight->pool_name_, why);
    }
  };
  report(now.late_results_, &reported_.late_results_, "late");
  report(now.wrong_ids_, &reported_.wrong_ids_, "wrong_id");
  report(now.duplicate_tokens_, &reported_.duplicate_tokens_,
         "duplicate_token");
  report(now.stream_gaps_, &reported_.stream_gaps_, "stream_gap");
}

}  // namespace citronlane
