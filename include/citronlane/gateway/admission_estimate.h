#ifndef CITRONLANE_GATEWAY_ADMISSION_ESTIMATE_H_
#define CITRONLANE_GATEWAY_ADMISSION_ESTIMATE_H_

#include "citronlane/admission/admission_query.h"
#include "citronlane/base/time.h"

namespace citronlane {

class PoolShards;
struct CallerRequest;

/// Builds the admission query of `request`: its class limits, and the latency
/// and cost expected from the current state of the pools that its stages use.
/// Expected times are empty if they are unknown for any stage. Pools that are
/// missing from `pools` are skipped. Thread safe.
AdmissionQuery EstimateForAdmission(const CallerRequest& request,
                                    const PoolShards& pools,
                                    TimePoint now);

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_ADMISSION_ESTIMATE_H_
