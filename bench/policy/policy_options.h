#ifndef CITRONLANE_BENCH_POLICY_POLICY_OPTIONS_H_
#define CITRONLANE_BENCH_POLICY_POLICY_OPTIONS_H_

#include <string>
#include <vector>

#include "citronlane/admission/admission_options.h"
#include "citronlane/routing/router_options.h"

namespace citronlane {

/// Which mechanisms a run uses.
struct PolicyOptions {
  std::string name_;
  RouterOptions router_;
  AdmissionOptions admission_;
  bool admits_all_ = false;
  /// Gateways report their calls in flight to each other.
  bool peer_loads_ = true;
  /// Calls carry their priority to the engines.
  bool priorities_ = true;
  bool hedge_ = true;
  bool deadline_split_ = true;
  /// Broken and stalled streams are continued on another server.
  bool continue_streams_ = true;
};

/// The project's policy with all mechanisms.
PolicyOptions ProjectPolicy();
/// Round robin and least in-flight, without any other mechanism.
std::vector<PolicyOptions> BaselinePolicies();
/// The project's policy with one mechanism disabled, for each mechanism.
std::vector<PolicyOptions> AblationPolicies();

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_POLICY_OPTIONS_H_
