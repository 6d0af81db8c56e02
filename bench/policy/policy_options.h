#ifndef CITRONLANE_BENCH_POLICY_POLICY_OPTIONS_H_
#define CITRONLANE_BENCH_POLICY_POLICY_OPTIONS_H_

#include <string>
#include <vector>

#include "citronlane/admission/admission_options.h"
#include "citronlane/routing/router_options.h"

namespace citronlane {

/// Mechanisms that a run uses.
struct PolicyOptions {
  std::string name_;
  RouterOptions router_;
  AdmissionOptions admission_;
  bool admits_all_ = false;
  /// Whether gateways report their calls in flight to each other.
  bool peer_loads_ = true;
  /// Whether calls to engines have a priority.
  bool priorities_ = true;
  bool hedge_ = true;
  bool deadline_split_ = true;
  /// Whether broken and stalled streams are continued at another server.
  bool continue_streams_ = true;
};

/// Returns the project's policy with all mechanisms.
PolicyOptions ProjectPolicy();
/// Returns round robin and least in-flight, without admission control, hedging
/// and the other mechanisms.
std::vector<PolicyOptions> BaselinePolicies();
/// Returns the project's policy without one mechanism, for each of them.
std::vector<PolicyOptions> LeverPolicies();

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_POLICY_OPTIONS_H_
