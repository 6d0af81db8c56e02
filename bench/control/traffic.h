#ifndef BENCH_CONTROL_TRAFFIC_H_
#define BENCH_CONTROL_TRAFFIC_H_

#include <cstdint>
#include <set>

namespace citronlane::bench {

/// What this process's TCP connections to some ports have carried so far, both
/// ways.
struct Traffic {
  double payload_bytes_ = 0;
  double segments_ = 0;

  /// With the IP and TCP header of each segment.
  double WireBytes() const;

  /// Reads the open connections.
  static Traffic Read(const std::set<uint16_t>& ports);
};

}  // namespace citronlane::bench

#endif  // BENCH_CONTROL_TRAFFIC_H_
