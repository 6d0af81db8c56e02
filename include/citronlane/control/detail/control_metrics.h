#ifndef CITRONLANE_CONTROL_DETAIL_CONTROL_METRICS_H_
#define CITRONLANE_CONTROL_DETAIL_CONTROL_METRICS_H_

#include <cstddef>
#include <string>

#include "citronlane/control/replica_status.h"

namespace citronlane {

class ControlState;
struct ConfigPropagation;
struct FeedCounts;

/// Returns a control VM's metrics in the Prometheus text format. Thread safe.
std::string ControlMetricsText(const ReplicaStatus& status,
                               ControlState& state);

/// Returns the metrics of a control VM with a GatewayFeed in the Prometheus
/// text format. Thread safe.
std::string FeedMetricsText(bool leads,
                            const ConfigPropagation& propagation,
                            const FeedCounts& counts);

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_METRICS_H_
