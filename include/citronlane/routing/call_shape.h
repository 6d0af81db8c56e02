#ifndef CITRONLANE_ROUTING_CALL_SHAPE_H_
#define CITRONLANE_ROUTING_CALL_SHAPE_H_

#include <cstdint>

namespace citronlane {

/// Properties of a call that the choice of its server depends on.
struct CallShape {
  /// Hash of the prompt's prefix, for cache affinity; 0 for none.
  uint64_t prefix_hash_ = 0;
  /// Expected tokens to generate; 0 for stages without a stream.
  uint32_t expected_tokens_ = 0;
  /// Batch work, which has no latency target.
  bool batch_ = false;
  /// From CallPriority: 0 is the most urgent. Engines honor it.
  uint32_t priority_ = 1;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_CALL_SHAPE_H_
