#include "policy/short_form.h"

#include <algorithm>
#include <string>

#include "policy/deployment.h"
#include "policy/policy_options.h"
#include "policy/scenario.h"
#include "policy/simulation.h"

namespace citronlane {
namespace {

constexpr double kUnbounded = 1e9;
constexpr uint64_t kSeeds = 3;
constexpr double kMaxAmplification = 1.1;
constexpr double kMaxHedgeCost = 0.05;

class ShortForm {
 public:
  explicit ShortForm(uint64_t seed)
      : seed_(seed),
        deployment_(MakeQurak()),
        scenarios_(MakeScenarios(deployment_)) {}

  std::vector<Bound> Run() {
    const RunResult steady = RunOne("steady", ProjectPolicy());
    const RunResult slow = RunOne("straggler-and-burst", ProjectPolicy());
    const RunResult slow_baseline = RunOne("straggler-and-burst", RoundRobin());
    const RunResult overload = RunOne("overload", ProjectPolicy());
    const RunResult overload_baseline = RunOne("overload", RoundRobin());
    const RunResult flood = RunOne("flood", ProjectPolicy());
    const RunResult alone = RunOne("without-large", ProjectPolicy());
    const RunResult down = RunOne("pool-down", ProjectPolicy());
    const double admitted = slow.interactive_.MetOfAdmitted();
    const double baseline = slow_baseline.interactive_.MetOfAdmitted();
    return {{"steady met of offered", steady.interactive_.MetOfOffered(), 0.97,
             kUnbounded},
            {"straggler-and-burst met of admitted", admitted, 0.9, kUnbounded},
            {"straggler-and-burst met of admitted to round robin",
             admitted / baseline, 2, kUnbounded},
            {"straggler-and-burst met of offered to round robin",
             slow.interactive_.MetOfOffered() /
                 slow_baseline.interactive_.MetOfOffered(),
             1.5, kUnbounded},
            {"overload goodput to round robin",
             overload.Goodput() / overload_baseline.Goodput(), 2, kUnbounded},
            {"flood small accounts to without the large one",
             flood.SmallAccounts() / alone.SmallAccounts(), 0.95, kUnbounded},
            {"pool-down retry amplification", down.RetryAmplification(), 0,
             kMaxAmplification},
            {"highest hedge cost",
             std::max({steady.HedgeCostRatio(), slow.HedgeCostRatio(),
                       overload.HedgeCostRatio(), flood.HedgeCostRatio(),
                       down.HedgeCostRatio()}),
             0, kMaxHedgeCost}};
  }

 private:
  static PolicyOptions RoundRobin() { return BaselinePolicies().front(); }

  RunResult RunOne(const std::string& name, const PolicyOptions& policy) const {
    const auto scenario = std::find_if(
        scenarios_.begin(), scenarios_.end(),
        [&name](const Scenario& each) { return each.name_ == name; });
    RunResult sum = Simulation(deployment_, *scenario, policy, seed_).Run();
    for (uint64_t seed = seed_ + 1; seed < seed_ + kSeeds; ++seed) {
      sum.Add(Simulation(deployment_, *scenario, policy, seed).Run());
    }
    return sum;
  }

  const uint64_t seed_;
  const Deployment deployment_;
  const std::vector<Scenario> scenarios_;
};

}  // namespace

std::vector<Bound> RunShortForm(uint64_t seed) {
  return ShortForm(seed).Run();
}

}  // namespace citronlane
