#ifndef CITRONLANE_GATEWAY_ADMISSION_ESTIMATE_H_
#define CITRONLANE_GATEWAY_ADMISSION_ESTIMATE_H_

#include "citronlane/admission/admission_query.h"
#include "citronlane/base/time.h"

namespace citronlane {

class PoolShards;
struct CallerRequest;

/// Returns what admission is asked for the request: times and cost expected
/// from the pools of its stages as they are now. Thread safe.
AdmissionQuery EstimateForAdmission(const CallerRequest& request,
                                    const PoolShards& pools,
                                    TimePoint now);

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_ADMISSION_ESTIMATE_H_
