#include "citronlane/relay/relay_service.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <string>

#include "absl/types/span.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/peer_headers.h"
#include "citronlane/relay/reach_watch.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_request.h"
#include "citronlane/relay/relay_responses.h"
#include "citronlane/relay/waker.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

/// How long a request waits for the gateway's first configuration and server
/// list; control VMs that start at the same time can provide them well before.
/// A caller refused instead would retry too late for its target.
constexpr Duration kViewWait = std::chrono::milliseconds(600);
/// The wait is also limited to the caller's remaining time divided by this.
constexpr int kViewWaitDivisor = 4;

// The host name without its port.
std::string_view HostName(std::string_view host) {
  const size_t colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos &&
                        host.find(']', colon) == std::string_view::npos;
  return has_port ? host.substr(0, colon) : host;
}

uint64_t CountPieces(absl::Span<const uint32_t> counts, const Route& route) {
  const size_t stages = std::min(counts.size(), route.stages_.size());
  return std::accumulate(counts.begin(),
                         counts.begin() + static_cast<std::ptrdiff_t>(stages),
                         uint64_t{0});
}

}  // namespace

RelayService::RelayService(const RelayContext* context,
                           size_t max_requests,
                           uint64_t max_pieces)
    : context_(context), max_requests_(max_requests), max_pieces_(max_pieces) {}

void RelayService::Serve(const HttpRequest& request, HttpExchange* exchange) {
  RelayJob job;
  job.arrived_ = SteadyNow();
  ServeJob(request, &job, exchange);
}

void RelayService::ServeForwarded(const HttpRequest& request,
                                  HttpExchange* exchange) {
  HttpRequest original = request;
  const auto head = TakePeerHeaders(&original);
  if (!head || !MayServe(*head)) {
    exchange->Reply(PeerRefusalReply());
    return;
  }
  RelayJob job;
  job.arrived_ = SteadyNow() - head->age_;
  job.is_forwarded_ = true;
  job.was_counted_ = head->was_counted_;
  job.was_sent_ = head->was_sent_;
  job.were_stages_sent_ = head->were_stages_sent_;
  ServeJob(original, &job, exchange);
}

// With an older configuration than the other gateway has applied, the caller
// would see the system go back.
bool RelayService::MayServe(const PeerRequestHead& head) const {
  const auto& config = context_->view_->config();
  return config && config->version() >= head.config_version_ &&
         context_->view_->ServersAge(SteadyNow()) &&
         !context_->reach_->is_cut_off() &&
         stop_deadline_ == TimePoint::max() &&
         in_flight_.size() < max_requests_;
}

void RelayService::ServeJob(const HttpRequest& request,
                            RelayJob* job,
                            HttpExchange* exchange) {
  const auto has_config = [this] {
    return context_->view_->config() != nullptr;
  };
  if (!Await(has_config, job->arrived_, request, exchange)) {
    return;
  }
  if (const auto reason = Admit(request, job)) {
    Refuse(*job, *reason, exchange);
    return;
  }
  const auto has_list = [this] {
    return context_->view_->ServersAge(SteadyNow()).has_value();
  };
  if (!Await(has_list, job->arrived_, request, exchange)) {
    return;
  }
  if (job->pieces_ > max_pieces_ - pieces_in_flight_) {
    Refuse(*job, RefusalReason::kConcurrencyLimit, exchange);
    return;
  }
  RelayRequest relay(context_, job, &request, exchange);
  in_flight_[&relay] = job;
  pieces_in_flight_ += job->pieces_;
  relay.Run();
  pieces_in_flight_ -= job->pieces_;
  in_flight_.erase(&relay);
}

// Suspends until the condition holds or the time is up. Returns whether the
// caller is still connected.
bool RelayService::Await(const std::function<bool()>& condition,
                         TimePoint arrived,
                         const HttpRequest& request,
                         HttpExchange* exchange) {
  if (condition() || awaiting_view_.size() >= max_requests_) {
    return true;
  }
  const auto time_left =
      context_->dialect_->read_request_(request.headers_).time_left_;
  const Duration longest =
      std::min(kViewWait, time_left.value_or(kViewWait) / kViewWaitDivisor);
  const auto waker = std::make_shared<Waker>(context_->io_, exchange);
  awaiting_view_.insert(waker);
  waker->WaitUntil(condition, arrived + longest);
  awaiting_view_.erase(waker);
  const bool is_gone = waker->caller_gone();
  waker->Detach();
  return !is_gone;
}

void RelayService::OnViewReady() {
  for (const auto& waker : awaiting_view_) {
    waker->Wake();
  }
}

void RelayService::GiveUpAll() {
  for (const auto& waker : awaiting_view_) {
    waker->Expire();
  }
  for (const auto& [relay, job] : in_flight_) {
    relay->GiveUp(job);
  }
}

std::optional<RefusalReason> RelayService::Admit(const HttpRequest& request,
                                                 RelayJob* job) const {
  job->head_ = context_->dialect_->read_request_(request.headers_);
  job->config_ = context_->view_->config();
  if (!job->config_) {
    return RefusalReason::kNoConfiguration;
  }
  // The server could route a second host, or a target that names one, to
  // another place than the route found here.
  if (request.CountHeader("Host") != 1 || request.target_.empty() ||
      request.target_.front() != '/' || job->head_.request_id_.empty()) {
    return RefusalReason::kMalformedRequest;
  }
  job->route_ =
      job->config_->FindRoute(HostName(job->head_.host_), request.Path());
  if (job->route_ == nullptr) {
    return RefusalReason::kUnknownRoute;
  }
  const Route& route = *job->route_;
  job->priority_ = route.priority_;
  if (job->config_->has_accounts() && !route.is_public_) {
    const ClientAccount* account =
        job->config_->FindAccount(job->head_.account_key_);
    if (account == nullptr) {
      return RefusalReason::kUnknownAccount;
    }
    job->account_ = account->name_;
    job->priority_ = account->priority_.value_or(route.priority_);
  }
  const Duration limit =
      std::min(route.timeout_, job->head_.time_left_.value_or(route.timeout_));
  job->deadline_ = std::min(job->arrived_ + limit, stop_deadline_);
  job->begin_deadline_ =
      route.caller_patience_ > Duration()
          ? std::min(job->deadline_, job->arrived_ + route.caller_patience_)
          : job->deadline_;
  job->target_ = job->arrived_ + route.target_latency_;
  job->pieces_ = CountPieces(job->head_.stage_pieces_, route);
  if (job->pieces_ > max_pieces_) {
    return RefusalReason::kTooManyPieces;
  }
  if (SteadyNow() >= stop_deadline_ ||
      (refuses_late_ && job->arrived_ + limit > stop_deadline_)) {
    return RefusalReason::kShuttingDown;
  }
  if (in_flight_.size() >= max_requests_) {
    return RefusalReason::kConcurrencyLimit;
  }
  return std::nullopt;
}

void RelayService::Refuse(const RelayJob& job,
                          RefusalReason reason,
                          HttpExchange* exchange) const {
  const HttpReply reply = RefusalReply(reason, Verdict::kNotRun);
  const std::string route = job.route_ == nullptr ? "" : job.route_->name_;
  context_->metrics_->Count(kRefusalsTotal,
                            {ToString(reason), route, job.account_});
  context_->log_->Write("relay", "refused",
                        {{"request", job.head_.request_id_},
                         {"route", route},
                         {"reason", ToString(reason)},
                         {"status", reply.status_},
                         {"in_hand", static_cast<uint64_t>(in_flight_.size())},
                         {"config", job.config_ ? job.config_->version() : 0}});
  exchange->Reply(reply);
}

}  // namespace citronlane
