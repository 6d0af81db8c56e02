#ifndef CITRONLANE_BENCH_POLICY_SCENARIO_H_
#define CITRONLANE_BENCH_POLICY_SCENARIO_H_

#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "policy/deployment.h"
#include "policy/fault.h"

namespace citronlane {

/// Load and faults of one run. Requests that arrive between `measure_from_`
/// and `measure_to_` are counted.
struct Scenario {
  std::string name_;
  Duration length_ = std::chrono::seconds(30);
  Duration measure_from_ = std::chrono::seconds(10);
  Duration measure_to_ = std::chrono::seconds(22);
  /// Load outside and inside the burst, as a fraction of the capacity.
  double load_ = 0.7;
  double burst_load_ = 0.7;
  Duration burst_from_ = std::chrono::seconds(10);
  Duration burst_to_ = std::chrono::seconds(20);
  /// Account whose traffic is multiplied by `account_factor_` in the burst; for
  /// factor 0 it has no traffic in the whole run.
  std::string account_;
  double account_factor_ = 1;
  std::vector<Fault> faults_;
};

/// Returns all scenarios of the bench for the deployment.
std::vector<Scenario> MakeScenarios(const Deployment& deployment);

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_SCENARIO_H_
