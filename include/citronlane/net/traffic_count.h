#ifndef CITRONLANE_NET_TRAFFIC_COUNT_H_
#define CITRONLANE_NET_TRAFFIC_COUNT_H_

#include <cstddef>
#include <cstdint>

namespace citronlane {

/// Bytes that this process has sent and received on connections to callers,
/// backend servers and other processes of the fleet. One count for the process,
/// like the VM's link that all connections share. Thread safe.
void CountTraffic(size_t bytes);
uint64_t TrafficBytes();

}  // namespace citronlane

#endif  // CITRONLANE_NET_TRAFFIC_COUNT_H_
