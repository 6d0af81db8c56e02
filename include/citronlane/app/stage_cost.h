#ifndef CITRONLANE_APP_STAGE_COST_H_
#define CITRONLANE_APP_STAGE_COST_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// What one stage of a request came to.
struct StageCost {
  std::string stage_;
  /// Micro-units, for every call of which a byte was sent.
  double cost_ = 0;
  uint32_t calls_ = 0;
  uint64_t tokens_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_APP_STAGE_COST_H_
