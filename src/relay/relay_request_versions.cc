// What servers of two software versions write does not fit together: a stream
// is continued only by servers of the version that began it.

#include <algorithm>
#include <memory>
#include <optional>
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
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_request.h"
#include "citronlane/relay/waker.h"
#include "citronlane/routing/only_version.h"
#include "citronlane/routing/stream_version.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/transport/stage_call.h"
#include "citronlane/transport/stage_call_hooks.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_reply_head.h"

namespace citronlane {
namespace {

/// Control replies within a few milliseconds; a leader may just be electing.
constexpr Duration kOriginReplyTimeout = std::chrono::milliseconds(300);
/// Gateways report streams at least this soon after they begin.
constexpr Duration kReportDelay = std::chrono::milliseconds(120);
constexpr Duration kReportTimeout = std::chrono::milliseconds(300);
constexpr int kOk = 200;

}  // namespace

bool RelayRequest::MayContinue(const BackendServer& server) const {
  return !origin_ || server.version_ == origin_->version_;
}

bool RelayRequest::MayCall(const BackendServer& server) const {
  return !server.leaving_ && MayContinue(server) &&
         context_->limits_->backoffs()->MayCall(server.id_, SteadyNow());
}

std::vector<std::string> RelayRequest::Unusable() const {
  std::vector<std::string> excluded = tried_;
  for (const BackendServer* server :
       context_->view_->ServersOf(service_->name_)) {
    if (!MayCall(*server)) {
      excluded.push_back(server->id_);
    }
  }
  return excluded;
}

bool RelayRequest::HasServerOfOrigin() const {
  const auto servers = context_->view_->ServersOf(origin_->service_);
  return std::any_of(servers.begin(), servers.end(),
                     [this](const BackendServer* server) {
                       return !server->leaving_ && MayContinue(*server);
                     });
}

void RelayRequest::NoteOrigin() {
  if (!origin_) {
    origin_ = {service_->name_, called_.version_};
  }
  context_->origins_->OnBegun(job_->head_.request_id_, *origin_);
}

bool RelayRequest::TakesUpStream() const {
  return job_->route_->kind_ == RouteKind::kStreaming &&
         job_->head_.last_event_.has_value();
}

bool RelayRequest::FindOrigin() {
  const std::string& resumed = job_->head_.resumed_attempt_;
  std::string_view source = "own";
  std::optional<OnlyVersion> listed;
  if (!resumed.empty()) {
    origin_ = context_->origins_->Find(resumed);
  }
  if (!origin_) {
    auto answer = AskOrigin();
    if (answer && !answer->origin_ && !OnlyPossibleOrigin(answer)) {
      // The report of a stream that has just begun may be on its way.
      waker_->WaitUntil([] { return false; },
                        std::min(job_->deadline_, SteadyNow() + kReportDelay));
      answer = AskOrigin();
    }
    if (waker_->caller_gone()) {
      return false;
    }
    source = "control";
    if (answer) {
      origin_ = answer->origin_;
      listed = answer->only_version_;
    }
    if (!origin_) {
      origin_ = OnlyPossibleOrigin(answer);
      source = origin_ ? "only version" : answer ? "unknown" : "no reply";
    }
  }
  const bool may_go_on =
      origin_ && IsOnRoute(origin_->service_) && HasServerOfOrigin();
  context_->log_->Write(
      "relay", "stream taken up",
      {{"request", job_->head_.request_id_},
       {"resumes", resumed},
       {"source", source},
       {"service", origin_ ? origin_->service_ : std::string()},
       {"version", origin_ ? origin_->version_ : std::string()},
       {"goes_on", may_go_on ? "yes" : "no"},
       {"only_version", listed ? listed->version_ : std::string()},
       {"only_for_ms", listed ? listed->for_ : Duration()},
       {"only_ever", listed && listed->is_ever_ ? "yes" : "no"},
       {"control_list_age_ms", listed ? listed->list_age_ : Duration()},
       {"list_age_ms",
        context_->view_->ServersAge(SteadyNow()).value_or(Duration())}});
  context_->metrics_->Count(
      kStreamsTakenUpTotal,
      {origin_ && !may_go_on ? std::string_view("version gone") : source});
  if (!origin_) {
    last_failure_ = "version unknown";
    Refuse(RefusalReason::kStreamVersionUnknown);
  } else if (!may_go_on) {
    last_failure_ = "version gone";
    Refuse(RefusalReason::kStreamVersionGone);
  }
  return may_go_on;
}

std::optional<OriginWatch::Answer> RelayRequest::AskOrigin() {
  const auto answer = std::make_shared<std::optional<OriginWatch::Answer>>();
  const uint64_t question = context_->origins_->Ask(
      job_->head_.resumed_attempt_, OnlyService(),
      [answer, waker = waker_](const OriginWatch::Answer& received) {
        *answer = received;
        waker->Wake();
      });
  waker_->WaitUntil(
      [&answer] { return answer->has_value(); },
      std::min(job_->deadline_, SteadyNow() + kOriginReplyTimeout));
  context_->origins_->Cancel(question);
  return *answer;
}

std::optional<StreamOrigin> RelayRequest::OnlyPossibleOrigin(
    const std::optional<OriginWatch::Answer>& answer) const {
  const std::string service = OnlyService();
  if (service.empty()) {
    return std::nullopt;
  }
  const auto version = OnlyPossibleVersion(
      service, job_->route_->timeout_, context_->view_->versions(),
      answer ? answer->only_version_ : std::nullopt, SteadyNow());
  return version ? std::optional(StreamOrigin{service, *version})
                 : std::nullopt;
}

std::string RelayRequest::OnlyService() const {
  const auto& split = job_->route_->split_;
  return split.size() == 1 ? split.front().service_ : std::string();
}

bool RelayRequest::IsOnRoute(std::string_view service) const {
  const auto& split = job_->route_->split_;
  return std::any_of(
      split.begin(), split.end(), [service](const WeightedService& weighted) {
        return weighted.weight_ > 0 && weighted.service_ == service;
      });
}

// A server that started again under its name may have another version than the
// one that the list still shows. It has not done so since the list was read if
// it names the listed start time now, after it has begun to reply.
bool RelayRequest::IsListedIncarnation() {
  if (called_.started_ms_ == 0) {
    return true;
  }
  const auto started = ReportedStart();
  const bool is_listed =
      started && (*started == 0 || *started == called_.started_ms_);
  if (!is_listed && !waker_->caller_gone()) {
    context_->log_->Write(
        "relay", "server not as listed",
        {{"request", job_->head_.request_id_},
         {"server", called_.id_},
         {"listed_start_ms", static_cast<uint64_t>(called_.started_ms_)},
         {"start_ms", static_cast<uint64_t>(started.value_or(0))}});
  }
  return is_listed;
}

std::optional<int64_t> RelayRequest::ReportedStart() {
  struct Report {
    int status_ = 0;
    std::optional<CallOutcome> outcome_;
    std::string body_;
  };
  if (!context_->limits_->backoffs()->MayCall(called_.id_, SteadyNow())) {
    return std::nullopt;
  }
  const auto report = std::make_shared<Report>();
  StageCallHooks hooks;
  hooks.sending_ = [] { return true; };
  hooks.head_ = [report](const StageReplyHead& head) {
    report->status_ = head.status_;
    return true;
  };
  hooks.done_ = [report, waker = waker_](CallOutcome outcome,
                                         const std::string& body) {
    report->outcome_ = outcome;
    report->body_ = body;
    waker->Wake();
  };
  const TimePoint until =
      std::min(job_->deadline_, SteadyNow() + kReportTimeout);
  StageCallSpec spec =
      SpecFor(called_.address_, "GET", context_->dialect_->report_path_, until);
  spec.fresh_connection_ = true;
  const auto call = context_->client_->Start(std::move(spec), std::move(hooks));
  waker_->WaitUntil([&report] { return report->outcome_.has_value(); }, until);
  call->Cancel();
  if (report->outcome_ != CallOutcome::kSuccess || report->status_ != kOk) {
    return std::nullopt;
  }
  return context_->dialect_->read_report_(report->body_).value_or(0);
}

}  // namespace citronlane
