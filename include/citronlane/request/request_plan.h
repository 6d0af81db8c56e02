#ifndef CITRONLANE_REQUEST_REQUEST_PLAN_H_
#define CITRONLANE_REQUEST_REQUEST_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/request/stage_plan.h"

namespace citronlane {

/// Fixed properties of a request: its stages in order, its deadline and limits.
struct RequestPlan {
  /// Unique within the fleet.
  std::string id_;
  std::vector<StagePlan> stages_;
  TimePoint deadline_{};
  /// Largest number of calls of one stage, hedges and resumed streams included.
  uint32_t max_attempts_ = 6;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_REQUEST_PLAN_H_
