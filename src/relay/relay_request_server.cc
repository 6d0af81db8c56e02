#include <algorithm>
#include <string>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/relay/engine_placement.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_request.h"
#include "citronlane/relay/service_router.h"

namespace citronlane {

// A share of the requests by weight.
std::string_view RelayRequest::ServiceName() const {
  const auto& split = job_->route_->split_;
  double sum = 0;
  for (const WeightedService& part : split) {
    sum += std::max(0.0, part.weight_);
  }
  constexpr uint64_t kSteps = 1 << 20;
  double draw = sum * static_cast<double>(context_->random_(kSteps)) / kSteps;
  for (const WeightedService& part : split) {
    if (part.weight_ > 0 && draw < part.weight_) {
      return part.service_;
    }
    draw -= std::max(0.0, part.weight_);
  }
  return split.back().service_;
}

const BackendServer* RelayRequest::Choose() {
  const TimePoint now = SteadyNow();
  router_->Update(*context_->view_, now);
  engine_.Begin(*service_, EngineDomain());
  if (engine_.is_elsewhere()) {
    const std::string named =
        engine_.Ask(EnginePlacement::Purpose::kStart, RouterCall(), tried_);
    const BackendServer* server = context_->view_->FindServer(named);
    if (server != nullptr && !server->leaving_) {
      return server;
    }
    // Of lists of different age, or there is no answer.
    engine_.Forget();
  }
  auto id = router_->Choose(SteadyNow(), RouterCall(), tried_);
  if (!id && engine_.is_here()) {
    // Its part has no engine that was not tried.
    engine_.Leave();
    id = router_->Choose(SteadyNow(), RouterCall(), tried_);
  }
  return id ? context_->view_->FindServer(*id) : nullptr;
}

// Of divided engines: where heavy results lie, or else what keeps the prompt.
std::string RelayRequest::EngineDomain() {
  if (!context_->view_->IsDivided(service_->name_)) {
    return {};
  }
  if (stages_.HasHeavyResults() && !near_domain_.empty()) {
    return near_domain_;
  }
  return home_domain_.empty() ? PromptHome() : home_domain_;
}

// Where the engine will be that the request goes to after its stages: heavy
// results are best made there.
std::string RelayRequest::PlannedDomain() {
  router_->Update(*context_->view_, SteadyNow());
  if (context_->view_->IsDivided(service_->name_)) {
    std::string home = PromptHome();
    engine_.Begin(*service_, home);
    return home;
  }
  engine_.Begin(*service_, {});
  if (!engine_.is_elsewhere() || !stages_.HasHeavyResults()) {
    return PromptHome();
  }
  const std::string named =
      engine_.Ask(EnginePlacement::Purpose::kPlan, RouterCall(), tried_);
  engine_.Forget();
  const BackendServer* server = context_->view_->FindServer(named);
  return server == nullptr ? PromptHome() : server->failure_domain_;
}

// Failure domain of the engine that should keep the prompt's shared parts.
std::string RelayRequest::PromptHome() {
  return router_->HomeDomain(SteadyNow(), RouterCall());
}

EngineRouter::Call RelayRequest::RouterCall() const {
  EngineRouter::Call call;
  call.prompt_ = job_->head_.prompt_;
  call.near_ = near_domain_;
  call.input_bytes_ = stages_.InputBytes();
  call.sees_all_ = engine_.is_here();
  if (engine_.is_here()) {
    call.only_in_ = engine_.part().failure_domain_;
  }
  return call;
}

void RelayRequest::NoteStart(const std::string& server) {
  had_first_event_ = false;
  unread_ = router_->OnStart(server, SteadyNow(), RouterCall());
}

void RelayRequest::NoteFirstEvent() {
  had_first_event_ = true;
  router_->OnFirstEvent(last_server_, std::exchange(unread_, 0));
  engine_.NoteFirstEvent();
}

void RelayRequest::NoteEnd(const std::string& server,
                           CallOutcome outcome,
                           Duration took) {
  router_->OnFinish(server, SteadyNow(), outcome, took, unread_);
  engine_.NoteEnd(outcome);
}

}  // namespace citronlane
