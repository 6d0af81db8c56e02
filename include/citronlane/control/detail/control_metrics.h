#ifndef CITRONLANE_CONTROL_DETAIL_CONTROL_METRICS_H_
#define CITRONLANE_CONTROL_DETAIL_CONTROL_METRICS_H_

#include <string>

#include "citronlane/control/replica_status.h"

namespace citronlane {

class ControlState;
struct ConfigSpread;

/// Returns what a control VM knows of itself in the Prometheus text format.
/// Thread safe.
std::string ControlMetricsText(const ReplicaStatus& status,
                               ControlState& state);

/// The same of a control VM that feeds gateways whole documents. Thread safe.
std::string FeedMetricsText(bool leads, const ConfigSpread& spread);

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_METRICS_H_
