#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/relay/engine_placement.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/limit_watch.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_request.h"
#include "citronlane/relay/service_router.h"

namespace citronlane {
namespace {

/// Urgency for engines: 0 is first, 9 is last. A late request is deferred by
/// kLateUrgencyStep.
constexpr uint32_t kFirstUrgency = 1;
constexpr uint32_t kUrgencyPerPriority = 2;
constexpr uint32_t kLateUrgencyStep = 2;
constexpr uint32_t kLastUrgency = 9;

}  // namespace

// The service that began the stream, or else one at random by weight.
std::string_view RelayRequest::ServiceName() const {
  if (origin_) {
    return origin_->service_;
  }
  const auto& split = job_->route_->split_;
  double sum = 0;
  for (const WeightedService& weighted : split) {
    sum += std::max(0.0, weighted.weight_);
  }
  constexpr uint64_t kRandomValues = 1 << 20;
  double draw = sum * static_cast<double>(context_->random_(kRandomValues)) /
                kRandomValues;
  for (const WeightedService& weighted : split) {
    if (weighted.weight_ > 0 && draw < weighted.weight_) {
      return weighted.service_;
    }
    draw -= std::max(0.0, weighted.weight_);
  }
  return split.back().service_;
}

const BackendServer* RelayRequest::Choose() {
  const TimePoint now = SteadyNow();
  router_->Update(*context_->view_, now);
  engine_.Begin(*service_, EngineDomain());
  is_counted_by_owner_ = false;
  is_call_reserved_ = engine_.is_placed_here() && MayUseReserved();
  const std::string reserved = std::exchange(reserved_engine_, {});
  if (is_call_reserved_) {
    return context_->view_->FindServer(reserved);
  }
  if (engine_.is_placed_elsewhere()) {
    const std::string named = engine_.RequestEngine(
        EnginePlacement::Purpose::kStart, RouterCall(), Unusable(), reserved);
    const BackendServer* server = context_->view_->FindServer(named);
    if (server != nullptr && MayCall(*server)) {
      is_counted_by_owner_ = true;
      return server;
    }
    // The placement owner's server list is older or newer than this gateway's,
    // or there was no reply.
    engine_.Cancel();
  }
  auto id = ChooseHere();
  if (!id && engine_.is_placed_here()) {
    // Every engine of its partition was tried or is at its limit.
    engine_.Detach();
    id = ChooseHere();
  }
  return id ? context_->view_->FindServer(*id) : nullptr;
}

bool RelayRequest::MayUseReserved() const {
  const BackendServer* server = context_->view_->FindServer(reserved_engine_);
  return server != nullptr && MayCall(*server) &&
         context_->limits_->limits()->MayCallReserved(reserved_engine_,
                                                      SteadyNow());
}

std::optional<std::string> RelayRequest::ChooseHere() {
  const std::vector<std::string> excluded = Excluded();
  if (auto unobserved = ChooseUnobserved(excluded)) {
    return unobserved;
  }
  return router_->Choose(SteadyNow(), RouterCall(), excluded);
}

std::optional<std::string> RelayRequest::ChooseUnobserved(
    absl::Span<const std::string> excluded) {
  if (service_->engine_) {
    return std::nullopt;
  }
  const TimePoint now = SteadyNow();
  const std::vector<std::string> unobserved =
      context_->limits_->limits()->Unobserved(
          LimitScope(), context_->view_->GatewayCount(), now);
  if (unobserved.empty()) {
    return std::nullopt;
  }
  std::vector<std::string> others(excluded.begin(), excluded.end());
  for (const BackendServer* server :
       context_->view_->ServersOf(service_->name_)) {
    if (std::find(unobserved.begin(), unobserved.end(), server->id_) ==
        unobserved.end()) {
      others.push_back(server->id_);
    }
  }
  return router_->Choose(now, RouterCall(), others);
}

// For divided engines: the domain of large results or else of the cached
// prompt.
std::string RelayRequest::EngineDomain() {
  if (!context_->view_->IsDivided(service_->name_)) {
    return {};
  }
  if (const auto* reserved = context_->view_->FindServer(reserved_engine_)) {
    return reserved->failure_domain_;
  }
  if (stages_.HasLargeResults() && !near_domain_.empty()) {
    return near_domain_;
  }
  return stage_domain_.empty() ? PreferredPromptDomain() : stage_domain_;
}

// Domain of the engine that will run the request after its stages: large
// results are best produced there.
std::string RelayRequest::PlannedDomain() {
  router_->Update(*context_->view_, SteadyNow());
  if (context_->view_->IsDivided(service_->name_)) {
    std::string preferred_domain = PreferredPromptDomain();
    engine_.Begin(*service_, preferred_domain);
    return preferred_domain;
  }
  engine_.Begin(*service_, {});
  if (!engine_.is_placed_elsewhere() || !stages_.HasLargeResults()) {
    return PreferredPromptDomain();
  }
  const std::string named = engine_.RequestEngine(
      EnginePlacement::Purpose::kPlan, RouterCall(), Unusable());
  engine_.Cancel();
  const BackendServer* server = context_->view_->FindServer(named);
  return server == nullptr ? PreferredPromptDomain() : server->failure_domain_;
}

// Failure domain of the engine that should hold the prompt's shared segments.
std::string RelayRequest::PreferredPromptDomain() {
  return router_->PreferredFailureDomain(SteadyNow(), RouterCall());
}

// From the route's priority; a request that is already late is less urgent.
uint32_t RelayRequest::Urgency() const {
  const bool is_late = SteadyNow() > job_->target_;
  return std::min(kLastUrgency, kFirstUrgency +
                                    kUrgencyPerPriority * job_->priority_ +
                                    (is_late ? kLateUrgencyStep : 0));
}

EngineRouter::Call RelayRequest::RouterCall() const {
  EngineRouter::Call call;
  call.prompt_ = job_->head_.prompt_;
  call.near_ = near_domain_;
  call.input_bytes_ = stages_.InputBytes();
  call.route_ = job_->route_->name_;
  call.account_ = job_->account_;
  call.prompt_tokens_ = job_->head_.prompt_tokens_;
  call.max_output_tokens_ = job_->head_.max_output_tokens_;
  call.expected_output_tokens_ = job_->head_.expected_output_tokens_;
  call.priority_ = job_->priority_;
  call.target_left_ = std::max(Duration(), std::chrono::duration_cast<Duration>(
                                               job_->target_ - SteadyNow()));
  call.sees_all_requests_ = engine_.is_placed_here();
  if (engine_.is_placed_here()) {
    call.required_domain_ = engine_.partition().failure_domain_;
  }
  return call;
}

void RelayRequest::NoteStart(const std::string& server) {
  had_first_event_ = false;
  is_reply_reported_ = false;
  is_survival_reported_ = false;
  if (is_call_reserved_) {
    context_->limits_->limits()->OnReservedCall(server, SteadyNow());
  } else if (!is_counted_by_owner_) {
    context_->limits_->limits()->OnCall(server, SteadyNow());
  }
  run_began_ = SteadyNow();
  run_ = router_->Begin(server, *run_began_, RouterCall());
}

void RelayRequest::NoteFirstEvent() {
  had_first_event_ = true;
  first_event_at_ = SteadyNow();
  last_event_at_ = first_event_at_;
  events_at_first_ = events_.events();
  const Duration after =
      run_began_ ? first_event_at_ - *run_began_ : Duration();
  router_->FirstEvent(&run_, first_event_at_, after);
  engine_.NoteFirstEvent(after);
}

EngineOutput RelayRequest::Output() const {
  if (!had_first_event_) {
    return {};
  }
  return {static_cast<uint32_t>(events_.events() - events_at_first_),
          last_event_at_ - first_event_at_};
}

void RelayRequest::NoteEnd(const std::string& server,
                           CallOutcome outcome,
                           bool is_full_refusal,
                           Duration took) {
  const TimePoint now = SteadyNow();
  const EngineOutput output = Output();
  router_->End(run_, now, outcome, took, output);
  const bool is_full = outcome == CallOutcome::kRejected && is_full_refusal;
  if (!is_counted_by_owner_) {
    context_->limits_->limits()->OnEnd(server, is_full, now);
  }
  // To an owner a refusal means that the engine is full.
  engine_.NoteEnd(outcome == CallOutcome::kRejected && !is_full
                      ? CallOutcome::kCancelled
                      : outcome,
                  output);
}

}  // namespace citronlane
