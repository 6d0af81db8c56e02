#ifndef BENCH_CONTROL_TRAFFIC_H_
#define BENCH_CONTROL_TRAFFIC_H_

#include <cstdint>
#include <set>

namespace citronlane::bench {

/// Amount of data on this process's TCP connections to some ports, in both
/// directions.
struct Traffic {
  double payload_bytes_ = 0;
  double segments_ = 0;

  /// Bytes including the IP and TCP headers of each segment.
  double WireBytes() const;

  /// Reads the counts of the connections that are open now.
  static Traffic Read(const std::set<uint16_t>& ports);
};

}  // namespace citronlane::bench

#endif  // BENCH_CONTROL_TRAFFIC_H_
