#include "policy/scenario.h"

#include <utility>

namespace citronlane {
namespace {

using std::chrono::seconds;

constexpr double kSlowFactor = 10;
constexpr double kBurst = 5;
constexpr double kOverload = 3;
constexpr double kFlood = 8;
/// Load of a quiet hour, before a burst of five times as much.
constexpr double kQuietLoad = 0.4;
constexpr double kBusyLoad = 0.9;
/// Slow-down factor of a pool in a brownout.
constexpr double kBrownout = 3;
constexpr Duration kFaultFrom = seconds(10);
constexpr Duration kFaultTo = seconds(20);

Scenario Named(const std::string& name, std::vector<Fault> faults = {}) {
  Scenario scenario;
  scenario.name_ = name;
  scenario.faults_ = std::move(faults);
  return scenario;
}

Fault FaultOf(Fault::Kind kind,
              const std::string& pool,
              int first,
              int count,
              double factor = 1) {
  return {kind, kFaultFrom, kFaultTo, pool, first, count, factor};
}

Scenario Burst(const std::string& name, double load, double burst_load) {
  Scenario scenario = Named(name);
  scenario.load_ = load;
  scenario.burst_load_ = burst_load;
  scenario.measure_to_ = scenario.burst_to_;
  return scenario;
}

Scenario Account(const std::string& name, double factor) {
  Scenario scenario = Named(name);
  scenario.account_ = "large-1";
  scenario.account_factor_ = factor;
  return scenario;
}

}  // namespace

std::vector<Scenario> MakeScenarios(const Deployment& deployment) {
  const std::string engines = deployment.pools_[0].name_;
  const std::string reranker = deployment.pools_[3].name_;
  const int rerankers = deployment.pools_[3].servers_;
  const Fault slow = FaultOf(Fault::Kind::kSlow, engines, 0, 1, kSlowFactor);
  const Fault domain = FaultOf(Fault::Kind::kDomainLoss, "", 1, 1);
  std::vector<Scenario> scenarios = {
      Named("steady"),
      Burst("burst", kQuietLoad, kQuietLoad * kBurst),
      Burst("overload", 0.7, kOverload),
      Named("straggler", {slow}),
      Named("stage-straggler",
            {FaultOf(Fault::Kind::kSlow, reranker, 0, 1, kSlowFactor)}),
      Named("stopped", {FaultOf(Fault::Kind::kStop, engines, 0, 1)}),
      Named("stage-stopped", {FaultOf(Fault::Kind::kStop, reranker, 0, 1)}),
      Account("flood", kFlood),
      Account("without-large", 0),
      Named("domain-loss", {domain}),
      Named("pool-down", {FaultOf(Fault::Kind::kDown, reranker, 0, rerankers)}),
      Named("half-pool-down",
            {FaultOf(Fault::Kind::kDown, reranker, 0, rerankers / 2)}),
      Named("brownout", {FaultOf(Fault::Kind::kSlow, engines, 0,
                                 deployment.pools_[0].servers_, kBrownout)}),
      Named("errors",
            {FaultOf(Fault::Kind::kErrors, reranker, 0, 1),
             FaultOf(Fault::Kind::kErrors, deployment.pools_[4].name_, 0, 1)}),
      Named("rolling-restart",
            {FaultOf(Fault::Kind::kRollingRestart, engines, 0, 3)}),
  };
  Scenario all = Burst("all-at-once", kQuietLoad, kQuietLoad * kBurst);
  all.faults_ = {slow, domain, FaultOf(Fault::Kind::kStop, engines, 2, 1)};
  scenarios.push_back(all);
  Scenario cold = Burst("cold-start", kQuietLoad * kBurst, kQuietLoad * kBurst);
  cold.measure_from_ = Duration::zero();
  cold.measure_to_ = kFaultFrom;
  scenarios.push_back(cold);
  Scenario restart = Named(
      "busy-restart", {FaultOf(Fault::Kind::kRollingRestart, engines, 0, 3)});
  restart.load_ = kBusyLoad;
  restart.burst_load_ = kBusyLoad;
  scenarios.push_back(restart);
  Scenario burst =
      Burst("straggler-and-burst", kQuietLoad, kQuietLoad * kBurst);
  burst.faults_ = {slow};
  scenarios.push_back(burst);
  return scenarios;
}

}  // namespace citronlane
