#ifndef CITRONLANE_BENCH_POLICY_TRAFFIC_H_
#define CITRONLANE_BENCH_POLICY_TRAFFIC_H_

#include <cstdint>
#include <vector>

#include "policy/deployment.h"
#include "policy/request_spec.h"
#include "policy/scenario.h"

namespace citronlane {

/// Generates the requests of a scenario at random, in the order of arrival. The
/// result refers to the deployment, which must outlive it. The same seed gives
/// the same traffic.
std::vector<RequestSpec> MakeTraffic(const Deployment& deployment,
                                     const Scenario& scenario,
                                     uint64_t seed);

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_TRAFFIC_H_
