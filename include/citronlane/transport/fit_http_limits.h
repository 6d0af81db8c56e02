#ifndef CITRONLANE_TRANSPORT_FIT_HTTP_LIMITS_H_
#define CITRONLANE_TRANSPORT_FIT_HTTP_LIMITS_H_

#include "citronlane/process/machine_limits.h"
#include "citronlane/transport/http_limits.h"

namespace citronlane {

/// Returns the limits, lowered where the machine has less: calls to backend
/// servers need descriptors as well, and the process memory. Thread safe.
HttpLimits FitHttpLimits(HttpLimits limits, const MachineLimits& machine);

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_FIT_HTTP_LIMITS_H_
