#include <algorithm>
#include <cmath>
#include <cstdint>
#include <memory>
#include <string>

#include "citronlane/base/steady_now.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/relay/detail/gateway_host_impl.h"
#include "citronlane/serving/service.h"

namespace citronlane {
namespace {

/// Interval of the lines on repeats.
constexpr Duration kRepeatLogInterval = std::chrono::seconds(1);

uint64_t Percent(double factor) {
  return static_cast<uint64_t>(std::lround(factor * 100));
}

}  // namespace

ServiceRouter* GatewayHost::Impl::RouterOf(const Service& service) {
  auto& router = routers_[service.name_];
  if (!router) {
    router = std::make_unique<ServiceRouter>(
        service.name_, service.engine_.has_value(),
        settings_.prompt_reuse_window_, settings_.failure_domain_,
        context_.random_);
    router->SetObserver(RouterObserver(service.name_));
  }
  if (service.engine_) {
    router->SetEngine(*service.engine_);
  }
  return router.get();
}

EngineRouter::Observer GatewayHost::Impl::RouterObserver(
    const std::string& service) {
  EngineRouter::Observer observer;
  observer.speed_changed_ = [this, service](const std::string& server,
                                            double prefill, double decode) {
    log_->Write("engines", "speed changed",
                {{"service", service},
                 {"server", server},
                 {"prefill_percent", Percent(prefill)},
                 {"decode_percent", Percent(decode)}});
  };
  observer.first_event_ = [this, service](Duration expected, Duration seen) {
    metrics_.Observe(kFirstEventErrorSeconds, {service},
                     std::max(expected, seen) - std::min(expected, seen));
  };
  return observer;
}

void GatewayHost::Impl::SetSpeedMetrics(TimePoint now) {
  for (const auto& [service, router] : routers_) {
    if (router->engines().servers() == 0) {
      continue;
    }
    const EngineRouter::SpeedSpread speeds = router->engines().Speeds(now);
    metrics_.Set(kEngineTimeFactor, {service, "least"}, speeds.least_);
    metrics_.Set(kEngineTimeFactor, {service, "median"}, speeds.median_);
    metrics_.Set(kEngineTimeFactor, {service, "most"}, speeds.most_);
  }
}

ServiceRouter* GatewayHost::Impl::EngineRouterOf(const std::string& service) {
  const auto& config = view_.config();
  const Service* declared = config ? config->FindService(service) : nullptr;
  if (declared == nullptr || !declared->engine_) {
    return nullptr;
  }
  ServiceRouter* router = RouterOf(*declared);
  router->Update(view_, SteadyNow());
  return router;
}

RepeatBudget* GatewayHost::Impl::BudgetOf(const std::string& service) {
  return FindBudget(&budgets_, service, budget_options_);
}

RepeatBudget* GatewayHost::Impl::TaskBudgetOf(const std::string& service) {
  return FindBudget(&task_budgets_, service, pool_budget_options_);
}

RepeatBudget* GatewayHost::Impl::FindBudget(
    std::map<std::string, std::unique_ptr<RepeatBudget>>* budgets,
    const std::string& service,
    const RepeatBudget::Options& options) {
  auto& budget = (*budgets)[service];
  if (!budget) {
    budget = std::make_unique<RepeatBudget>(options, started_);
    if (stopping_) {
      budget->EndShare();
    }
  }
  return budget.get();
}

// A process that follows this one, here or on another VM, has its share a
// window after its start.
void GatewayHost::Impl::EndRepeatShares() {
  for (const auto* budgets : {&budgets_, &task_budgets_}) {
    for (const auto& [service, budget] : *budgets) {
      budget->EndShare();
    }
  }
  for (const auto& [partition, pool] : pools_) {
    pool->repeats()->budget()->EndShare();
  }
}

void GatewayHost::Impl::NoteRepeats(TimePoint now) {
  if (now - repeats_noted_ < kRepeatLogInterval) {
    return;
  }
  repeats_noted_ = now;
  for (const auto& [service, budget] : budgets_) {
    repeat_log_.Note(service, "request", budget.get(), view_.GatewayCount(),
                     now);
  }
  for (const auto& [service, budget] : task_budgets_) {
    repeat_log_.Note(service, "task", budget.get(), view_.GatewayCount(), now);
  }
  for (const auto& [partition, pool] : pools_) {
    repeat_log_.Note(partition.Name(), "pool", pool->repeats()->budget(),
                     pool->repeats()->Shares(), now);
  }
}

StagePool* GatewayHost::Impl::PoolOf(const PoolPartition& partition) {
  auto& pool = pools_[partition];
  if (!pool) {
    const auto& config = view_.config();
    const Service* declared =
        config ? config->FindService(partition.service_) : nullptr;
    if (declared == nullptr || !declared->stage_pool_) {
      pools_.erase(partition);
      return nullptr;
    }
    const TimePoint now = SteadyNow();
    pool = std::make_unique<StagePool>(
        partition, *declared->stage_pool_,
        PoolRepeatBudget(partition, settings_.internal_listen_,
                         pool_budget_options_, &view_, now),
        &limits_, &reach_, &view_, dialect_, &client_, log_);
    pool->Begin(now);
    if (stopping_) {
      pool->repeats()->budget()->EndShare();
    }
  }
  return pool.get();
}

// Whether tasks that wait here should be with another owner. An undivided pool
// stays with a successor that control has not named yet.
bool GatewayHost::Impl::BelongsElsewhere(const PoolPartition& partition) const {
  const auto owner = view_.owners().find(partition);
  const bool was_moved = reach_.is_cut_off() && owner != view_.owners().end() &&
                         owner->second != settings_.internal_listen_;
  return was_moved ||
         view_.BelongsElsewhere(partition, settings_.internal_listen_);
}

// Hands back tasks that wait in a partition that has another owner now, or no
// longer exists, once all gateways have received the change.
void GatewayHost::Impl::HandBackMovedPools(TimePoint now) {
  if (owners_number_ != view_.owners_number()) {
    owners_number_ = view_.owners_number();
    owners_since_ = now;
  }
  if (now - owners_since_ < kPropagationTime) {
    return;
  }
  for (const auto& [partition, pool] : pools_) {
    if (pool->tasks() > 0 && BelongsElsewhere(partition)) {
      pool->ReturnUnsentTasks();
    }
  }
}

}  // namespace citronlane
