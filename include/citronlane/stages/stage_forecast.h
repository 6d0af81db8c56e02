#ifndef CITRONLANE_STAGES_STAGE_FORECAST_H_
#define CITRONLANE_STAGES_STAGE_FORECAST_H_

#include <cstdint>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// Announced pieces of one stage of a request that has arrived: they reach the
/// stage's pool once the previous stages are done.
struct StageForecast {
  uint32_t pieces_ = 0;
  /// When the stage should be done, and when its results are of no use any
  /// more.
  TimePoint target_;
  TimePoint deadline_;
  /// 0 is the most urgent.
  uint32_t priority_ = 0;
  /// Failure domain whose servers should run them, where the pool is
  /// partitioned by failure domain; empty for any.
  std::string failure_domain_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_FORECAST_H_
