#ifndef CITRONLANE_REQUEST_REQUEST_PLAN_H_
#define CITRONLANE_REQUEST_REQUEST_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/request/stage_plan.h"

namespace citronlane {

/// A request before it starts: its stages in order and its deadline.
struct RequestPlan {
  /// Unique over the fleet.
  std::string id_;
  std::vector<StagePlan> stages_;
  TimePoint deadline_{};
  /// Most calls of one stage, hedges and resumed streams included.
  uint32_t max_attempts_ = 6;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_REQUEST_PLAN_H_
