#include "policy/scenario.h"

#include <utility>

namespace citronlane {
namespace {

using std::chrono::seconds;

constexpr double kSlowFactor = 10;
constexpr double kBurstFactor = 5;
constexpr double kOverloadLoad = 3;
constexpr double kFloodFactor = 8;
/// Load outside a burst, as at off-peak times.
constexpr double kQuietLoad = 0.4;
constexpr double kBusyLoad = 0.9;
/// Slow factor of an entire pool.
constexpr double kBrownoutFactor = 3;
constexpr Duration kFaultFrom = seconds(10);
constexpr Duration kFaultTo = seconds(20);

Scenario MakeScenario(const std::string& name, std::vector<Fault> faults = {}) {
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
  Scenario scenario = MakeScenario(name);
  scenario.load_ = load;
  scenario.burst_load_ = burst_load;
  scenario.measure_to_ = scenario.burst_to_;
  return scenario;
}

Scenario Account(const std::string& name, double factor) {
  Scenario scenario = MakeScenario(name);
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
      MakeScenario("steady"),
      Burst("burst", kQuietLoad, kQuietLoad * kBurstFactor),
      Burst("overload", 0.7, kOverloadLoad),
      MakeScenario("straggler", {slow}),
      MakeScenario("stage-straggler",
                   {FaultOf(Fault::Kind::kSlow, reranker, 0, 1, kSlowFactor)}),
      MakeScenario("stopped", {FaultOf(Fault::Kind::kStop, engines, 0, 1)}),
      MakeScenario("stage-stopped",
                   {FaultOf(Fault::Kind::kStop, reranker, 0, 1)}),
      Account("flood", kFloodFactor),
      Account("without-large", 0),
      MakeScenario("domain-loss", {domain}),
      MakeScenario("pool-down",
                   {FaultOf(Fault::Kind::kDown, reranker, 0, rerankers)}),
      MakeScenario("half-pool-down",
                   {FaultOf(Fault::Kind::kDown, reranker, 0, rerankers / 2)}),
      MakeScenario("brownout",
                   {FaultOf(Fault::Kind::kSlow, engines, 0,
                            deployment.pools_[0].servers_, kBrownoutFactor)}),
      MakeScenario("errors", {FaultOf(Fault::Kind::kErrors, reranker, 0, 1),
                              FaultOf(Fault::Kind::kErrors,
                                      deployment.pools_[4].name_, 0, 1)}),
      MakeScenario("rolling-restart",
                   {FaultOf(Fault::Kind::kRollingRestart, engines, 0, 3)}),
  };
  Scenario all = Burst("all-at-once", kQuietLoad, kQuietLoad * kBurstFactor);
  all.faults_ = {slow, domain, FaultOf(Fault::Kind::kStop, engines, 2, 1)};
  scenarios.push_back(all);
  Scenario cold =
      Burst("cold-start", kQuietLoad * kBurstFactor, kQuietLoad * kBurstFactor);
  cold.measure_from_ = Duration::zero();
  cold.measure_to_ = kFaultFrom;
  scenarios.push_back(cold);
  Scenario restart = MakeScenario(
      "busy-restart", {FaultOf(Fault::Kind::kRollingRestart, engines, 0, 3)});
  restart.load_ = kBusyLoad;
  restart.burst_load_ = kBusyLoad;
  scenarios.push_back(restart);
  Scenario burst =
      Burst("straggler-and-burst", kQuietLoad, kQuietLoad * kBurstFactor);
  burst.faults_ = {slow};
  scenarios.push_back(burst);
  return scenarios;
}

}  // namespace citronlane
