#ifndef CITRONLANE_SERVING_GATEWAY_CAPACITY_H_
#define CITRONLANE_SERVING_GATEWAY_CAPACITY_H_

namespace citronlane {

/// What a gateway's VM provides to its process, as its settings declare.
/// Figures that are not known, and those that can't be right, are 0.
struct GatewayCapacity {
  /// Cores that the process may use.
  double processor_cores_ = 0;
  /// Bandwidth of the VM's link, in bytes per second.
  double link_bytes_per_second_ = 0;
};

/// Replaces figures of a peer that are no finite positive numbers by 0. Thread
/// safe.
GatewayCapacity UsableCapacity(double processor_cores,
                               double link_bytes_per_second);

/// Capacity for one of `partitions` pool partitions that the gateway would own,
/// by its processor and its link, whichever would be used up first. Counted in
/// coarse steps, so that VMs of about one size are equal; higher is more, and
/// the least of all when nothing is known. Precondition: `partitions` > 0.
/// Thread safe.
int CapacityStep(const GatewayCapacity& capacity, int partitions);

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_GATEWAY_CAPACITY_H_
