// Forwards requests of a gateway that reaches no backend server, or may call
// none, to others.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/server_call_spec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/limit_watch.h"
#include "citronlane/relay/peer_gateways.h"
#include "citronlane/relay/peer_headers.h"
#include "citronlane/relay/reach_watch.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_request.h"
#include "citronlane/relay/relay_responses.h"
#include "citronlane/relay/server_attempt.h"
#include "citronlane/relay/waker.h"
#include "citronlane/transport/held_reply.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"
#include "citronlane/transport/stage_client.h"

namespace citronlane {
namespace {

/// Gateways that are tried for one request.
constexpr size_t kMaxPeers = 3;
/// The other gateway replies by the deadline; its reply takes this long at
/// most.
constexpr Duration kPeerReplyTime = std::chrono::milliseconds(150);

Verdict VerdictOf(int status) {
  if (PromisesNotRun(status)) {
    return Verdict::kNotRun;
  }
  return IsSuccess(status) ? Verdict::kRan : Verdict::kMayHaveRun;
}

}  // namespace

// Pieces of its stages may be made again, but a server that may have got the
// request itself excludes that another gateway sends it.
bool RelayRequest::ShouldForward() const {
  return (context_->reach_->is_cut_off() || LacksPlace()) &&
         !job_->is_forwarded_ && !is_forwarding_over_ && runs_ == 0 &&
         refusals_ == 0 && !stream_started_;
}

bool RelayRequest::LacksPlace() const {
  return service_ != nullptr && !service_->engine_ &&
         context_->limits_->limits()->brittle()->LacksPlace(service_->name_);
}

std::vector<std::string> RelayRequest::PeersWithoutPlace() const {
  std::vector<std::string> addresses;
  if (!LacksPlace()) {
    return addresses;
  }
  const auto names =
      context_->limits_->limits()->brittle()->WithoutPlace(service_->name_);
  for (const FleetView::Gateway& gateway : context_->view_->gateways()) {
    if (names.count(gateway.endpoint_) != 0) {
      addresses.push_back(gateway.relay_address_);
    }
  }
  return addresses;
}

bool RelayRequest::TryPeers() {
  std::vector<std::string> excluded = PeersWithoutPlace();
  for (size_t tried = 0; tried < kMaxPeers && SteadyNow() < job_->deadline_;
       ++tried) {
    const auto peer = context_->peers_->Choose(excluded, SteadyNow());
    if (!peer) {
      break;
    }
    excluded.push_back(*peer);
    context_->peers_->OnStart(*peer);
    const PeerResult result = AskPeer(*peer);
    context_->peers_->OnEnd(*peer, result != PeerResult::kNotTaken,
                            SteadyNow());
    context_->metrics_->Count(kForwardedTotal, {NameOf(result)});
    if (result != PeerResult::kNotTaken) {
      return true;
    }
  }
  is_forwarding_over_ = true;
  last_failure_ = "no gateway took it";
  return false;
}

std::string_view RelayRequest::NameOf(PeerResult result) {
  switch (result) {
    case PeerResult::kNotTaken:
      return "not_taken";
    case PeerResult::kEnded:
      return "ended";
    case PeerResult::kLost:
      return "lost";
  }
  return "";
}

RelayRequest::PeerResult RelayRequest::AskPeer(const std::string& address) {
  const TimePoint reply_by = job_->deadline_ + kPeerReplyTime;
  StageCallSpec spec =
      SpecFor(address, request_->method_, request_->target_, reply_by);
  spec.host_ = job_->head_.host_;
  spec.headers_ = WritePeerHeaders(
      request_->headers_, {Elapsed(), job_->config_->version(),
                           job_->was_counted_ || sends_.has_value(),
                           sends_ && sends_->sent() > 0, stages_.was_sent()});
  spec.body_ = request_->body_;
  // The other gateway may close an idle connection just as the request arrives.
  spec.fresh_connection_ = !job_->route_->MayRepeat();
  last_server_ = address;
  ServerAttempt attempt(context_, waker_, std::move(spec),
                        {job_->head_.request_id_, {}, address, true}, nullptr);
  waker_->WaitUntil(
      [&attempt] { return attempt.has_head() || attempt.is_done(); }, reply_by);
  if (waker_->caller_gone()) {
    return PeerResult::kEnded;
  }
  if (!attempt.has_head()) {
    attempt.Cancel();
    return AfterSilence(attempt);
  }
  if (IsPeerRefusal(attempt.headers())) {
    return PeerResult::kNotTaken;
  }
  verdict_ = VerdictOf(attempt.status());
  return job_->route_->kind_ == RouteKind::kStreaming &&
                 IsSuccess(attempt.status())
             ? PassStream(&attempt, reply_by)
             : PassReply(&attempt, reply_by);
}

RelayRequest::PeerResult RelayRequest::AfterSilence(
    const ServerAttempt& attempt) {
  if (AfterFailure(attempt).step_ == Step::kNotRun) {
    return PeerResult::kNotTaken;
  }
  EndAsLost();
  return PeerResult::kLost;
}

// The other gateway may have had the request run.
void RelayRequest::EndAsLost() {
  verdict_ = RaiseVerdict(verdict_, Verdict::kMayHaveRun);
  last_failure_ = "gateway lost";
  Refuse(SteadyNow() >= job_->deadline_ ? RefusalReason::kDeadlineExceeded
                                        : RefusalReason::kStageFailed);
}

HttpReply RelayRequest::ResponseOfPeer(const ServerAttempt& attempt) {
  HttpReply reply = ResponseOf(attempt.status(), attempt.headers());
  const std::string leaving = TakeLeavingServer(&reply);
  if (!leaving.empty()) {
    context_->limits_->OnLeaving(leaving);
  }
  return reply;
}

RelayRequest::PeerResult RelayRequest::PassReply(ServerAttempt* attempt,
                                                 TimePoint reply_by) {
  HeldReply held(context_->client_->reply_memory());
  std::string body;
  const bool is_whole = ReadWhole(attempt, reply_by, &held, &body);
  if (waker_->caller_gone()) {
    return PeerResult::kEnded;
  }
  if (!is_whole || attempt->outcome() != CallOutcome::kSuccess) {
    EndAsLost();
    return PeerResult::kLost;
  }
  HttpReply reply = ResponseOfPeer(*attempt);
  reply.body_ = std::move(body);
  exchange_->Reply(reply);
  Finish("forwarded", attempt->status());
  return PeerResult::kEnded;
}

RelayRequest::PeerResult RelayRequest::PassStream(ServerAttempt* attempt,
                                                  TimePoint reply_by) {
  stream_started_ = true;
  first_event_time_ = Elapsed();
  if (!exchange_->StartStream(ResponseOfPeer(*attempt))) {
    return PeerResult::kEnded;
  }
  while (true) {
    waker_->WaitUntil(
        [attempt] { return attempt->has_data() || attempt->is_done(); },
        reply_by);
    if (waker_->caller_gone()) {
      return PeerResult::kEnded;
    }
    const bool is_done = attempt->is_done();
    if (!is_done && !attempt->has_data()) {
      break;
    }
    if (!exchange_->Write(attempt->TakeData())) {
      return PeerResult::kEnded;
    }
    if (is_done) {
      break;
    }
  }
  if (!attempt->is_done() || attempt->outcome() != CallOutcome::kSuccess) {
    EndAsLost();
    return PeerResult::kLost;
  }
  exchange_->EndStream();
  Finish("forwarded", attempt->status());
  return PeerResult::kEnded;
}

}  // namespace citronlane
