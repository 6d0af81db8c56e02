#ifndef CITRONLANE_ROUTING_ENGINE_OUTPUT_H_
#define CITRONLANE_ROUTING_ENGINE_OUTPUT_H_

#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// What a request's run showed when it ended.
struct EngineOutput {
  /// Units of output after the first event, and the time that they took.
  uint32_t units_ = 0;
  Duration time_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_ENGINE_OUTPUT_H_
