#ifndef CITRONLANE_GATEWAY_STAGE_COST_H_
#define CITRONLANE_GATEWAY_STAGE_COST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// What one stage of a request came to.
struct StageCost {
  std::string stage_;
  /// Micro-units, for every call of which a byte was sent.
  double cost_ = 0;
  uint32_t calls_ = 0;
  uint64_t tokens_ = 0;
  /// From the stage's start to its end; nothing when it did not start.
  std::optional<Duration> time_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_STAGE_COST_H_
