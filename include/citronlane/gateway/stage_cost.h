#ifndef CITRONLANE_GATEWAY_STAGE_COST_H_
#define CITRONLANE_GATEWAY_STAGE_COST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// Cost, calls and duration of one stage of a request.
struct StageCost {
  std::string stage_;
  /// In micro-units. Includes every call of which at least a byte was sent.
  double cost_ = 0;
  uint32_t calls_ = 0;
  uint64_t tokens_ = 0;
  /// From the start of the stage to its end, or to now while it runs. Empty if
  /// it did not start.
  std::optional<Duration> time_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_STAGE_COST_H_
