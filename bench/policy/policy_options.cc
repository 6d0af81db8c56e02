#include "policy/policy_options.h"

namespace citronlane {
namespace {

PolicyOptions Baseline(const std::string& name, RouterOptions::Choice choice) {
  PolicyOptions options;
  options.name_ = name;
  options.router_.choice_ = choice;
  options.router_.domain_preference_ = false;
  options.router_.prefix_affinity_ = false;
  options.router_.ejection_ = false;
  options.admits_all_ = true;
  options.priorities_ = false;
  options.hedge_ = false;
  options.deadline_split_ = false;
  return options;
}

}  // namespace

PolicyOptions ProjectPolicy() {
  PolicyOptions options;
  options.name_ = "project";
  return options;
}

std::vector<PolicyOptions> BaselinePolicies() {
  return {Baseline("round-robin", RouterOptions::Choice::kRoundRobin),
          Baseline("least-in-flight", RouterOptions::Choice::kLeastInFlight)};
}

std::vector<PolicyOptions> AblationPolicies() {
  std::vector<PolicyOptions> policies;
  const auto without =
      [&policies](const std::string& mechanism) -> PolicyOptions& {
    policies.push_back(ProjectPolicy());
    policies.back().name_ = "no-" + mechanism;
    return policies.back();
  };
  without("admission").admits_all_ = true;
  without("early-refusal").admission_.early_refusal_ = false;
  without("pool-down-refusal").admission_.refuse_pool_down_ = false;
  without("fair-share").admission_.fair_share_ = false;
  without("batch-yield").admission_.batch_yields_ = false;
  without("priorities").priorities_ = false;
  without("hedge").hedge_ = false;
  without("deadline-split").deadline_split_ = false;
  without("stream-continuation").continue_streams_ = false;
  without("expected-finish").router_.choice_ =
      RouterOptions::Choice::kLeastInFlight;
  without("peer-loads").peer_loads_ = false;
  without("affinity").router_.prefix_affinity_ = false;
  without("domain-preference").router_.domain_preference_ = false;
  without("ejection").router_.ejection_ = false;
  return policies;
}

}  // namespace citronlane
