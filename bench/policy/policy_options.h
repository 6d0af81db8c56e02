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
  /// Gateways tell each other their calls in flight.
  bool peer_loads_ = true;
  /// Engines are told how urgent a call is.
  bool priorities_ = true;
  bool hedge_ = true;
  bool deadline_split_ = true;
  /// Broken and stalled streams go on at another server.
  bool continue_streams_ = true;
};

/// The project's policy with everything on.
PolicyOptions ProjectPolicy();
/// Round robin and least in-flight: no admission, no hedges, no levers.
std::vector<PolicyOptions> BaselinePolicies();
/// The project's policy with one lever off each.
std::vector<PolicyOptions> LeverPolicies();

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_POLICY_OPTIONS_H_
