#ifndef CITRONLANE_BENCH_POLICY_TRAFFIC_H_
#define CITRONLANE_BENCH_POLICY_TRAFFIC_H_

#include <cstdint>
#include <vector>

#include "policy/deployment.h"
#include "policy/request_spec.h"
#include "policy/scenario.h"

namespace citronlane {

/// Generates the requests of a scenario in the order of their arrival. The same
/// seed gives the same traffic. The result has pointers into the deployment,
/// which must outlive it.
std::vector<RequestSpec> MakeTraffic(const Deployment& deployment,
                                     const Scenario& scenario,
                                     uint64_t seed);

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_TRAFFIC_H_
