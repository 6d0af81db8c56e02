#ifndef CITRONLANE_SERVING_ENGINE_SPEC_H_
#define CITRONLANE_SERVING_ENGINE_SPEC_H_

#include <cstdint>

namespace citronlane {

/// Capacity of each model engine of a service.
struct EngineSpec {
  /// Number of requests that run at the same time.
  uint32_t slots_ = 1;
  /// Number of tokens that fit its memory.
  uint64_t memory_tokens_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_ENGINE_SPEC_H_
