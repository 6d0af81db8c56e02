#ifndef CITRONLANE_FLEET_LOAD_METER_H_
#define CITRONLANE_FLEET_LOAD_METER_H_

#include <cstdint>
#include <deque>

#include "citronlane/base/time.h"
#include "citronlane/fleet/gateway_load.h"
#include "citronlane/serving/gateway_capacity.h"

namespace citronlane {

/// Measures the load of a gateway's VM from samples taken at each tick of its
/// event loop. Pure: no I/O, no clock. Not thread safe.
class LoadMeter {
 public:
  /// `tick` is the time between two ticks of a loop that is never late.
  LoadMeter(GatewayCapacity capacity, Duration tick);

  /// Call at each tick. `processor_time` is the processor time that the process
  /// has used, 0 when it can't be read, and `bytes` the number of bytes that it
  /// has sent and received, both since its start.
  void Sample(TimePoint now, Duration processor_time, uint64_t bytes);

  const GatewayLoad& load() const { return load_; }

 private:
  struct Tick {
    TimePoint at_;
    Duration processor_time_;
    uint64_t bytes_;
    /// How late it was.
    Duration lag_;
    /// Time for which it counts.
    Duration weight_;
  };

  Duration MedianLag() const;

  const GatewayCapacity capacity_;
  const Duration tick_;
  /// Those of the last two seconds, and one before.
  std::deque<Tick> ticks_;
  GatewayLoad load_;
  /// The processor clock was seen to run while the loop waited, as on platforms
  /// that do not account for processor time. It is ignored from then on.
  bool counts_waits_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_LOAD_METER_H_
