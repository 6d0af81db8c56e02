#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "policy/deployment.h"
#include "policy/policy_options.h"
#include "policy/report.h"
#include "policy/scenario.h"
#include "policy/short_form.h"
#include "policy/simulation.h"

namespace citronlane {
namespace {

struct Arguments {
  uint64_t seed_ = 1;
  uint64_t seeds_ = 3;
  bool levers_ = false;
  bool short_ = false;
  std::string json_;
  std::string scenario_;
  std::string deployment_;
  std::string policy_;
};

/// Adds up the counts of all seeds.
RunResult RunSeeds(const Deployment& deployment,
                   const Scenario& scenario,
                   const PolicyOptions& policy,
                   const Arguments& arguments) {
  uint64_t seed = arguments.seed_;
  RunResult sum = Simulation(deployment, scenario, policy, seed).Run();
  while (++seed < arguments.seed_ + arguments.seeds_) {
    sum.Add(Simulation(deployment, scenario, policy, seed).Run());
  }
  return sum;
}

std::vector<RunResult> RunAll(const Arguments& arguments) {
  std::vector<PolicyOptions> policies = {ProjectPolicy()};
  for (const PolicyOptions& policy :
       arguments.levers_ ? LeverPolicies() : BaselinePolicies()) {
    policies.push_back(policy);
  }
  std::vector<RunResult> results;
  for (const Deployment& deployment : {MakeQurak(), MakeBrazos()}) {
    if (!arguments.deployment_.empty() &&
        arguments.deployment_ != deployment.name_) {
      continue;
    }
    for (const Scenario& scenario : MakeScenarios(deployment)) {
      if (!arguments.scenario_.empty() &&
          arguments.scenario_ != scenario.name_) {
        continue;
      }
      for (const PolicyOptions& policy : policies) {
        if (!arguments.policy_.empty() && arguments.policy_ != policy.name_) {
          continue;
        }
        results.push_back(RunSeeds(deployment, scenario, policy, arguments));
      }
    }
  }
  return results;
}

/// Prints each bound and returns whether all hold.
bool PrintBounds(uint64_t seed) {
  bool all = true;
  for (const Bound& bound : RunShortForm(seed)) {
    all = all && bound.Holds();
    std::cout << (bound.Holds() ? "held: " : "BROKEN: ") << bound.name_ << ": "
              << bound.value_ << ", bound " << bound.min_ << ".." << bound.max_
              << "\n";
  }
  return all;
}

}  // namespace
}  // namespace citronlane

int main(int argc, char** argv) {
  citronlane::Arguments arguments;
  CLI::App app("Measures the policy against baselines on modelled servers");
  app.add_option("--seed", arguments.seed_,
                 "First seed of traffic and decisions");
  app.add_option("--seeds", arguments.seeds_, "Seeds to sum over");
  app.add_flag("--levers", arguments.levers_,
               "Compare with each mechanism switched off");
  app.add_option("--scenario", arguments.scenario_, "Run this one only");
  app.add_option("--deployment", arguments.deployment_, "Run this one only");
  app.add_option("--policy", arguments.policy_, "Run this one only");
  app.add_flag("--short", arguments.short_,
               "Print counts and ratios to the baseline with their bounds, "
               "in a few seconds; fails when one is broken");
  app.add_option("--json,--benchmark_out", arguments.json_,
                 "File for all counts");
  std::string format;
  app.add_option("--benchmark_out_format", format, "Only json")
      ->check(CLI::IsMember({"json"}));
  CLI11_PARSE(app, argc, argv);
  if (arguments.short_) {
    return citronlane::PrintBounds(arguments.seed_) ? 0 : 1;
  }
  const auto results = citronlane::RunAll(arguments);
  citronlane::WriteMarkdown(results, &std::cout);
  if (!arguments.json_.empty()) {
    std::ofstream file(arguments.json_);
    citronlane::WriteJson(results, &file);
  }
  return 0;
}
