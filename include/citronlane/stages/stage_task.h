#ifndef CITRONLANE_STAGES_STAGE_TASK_H_
#define CITRONLANE_STAGES_STAGE_TASK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// All pieces of one stage of one request.
struct StageTask {
  std::string request_id_;
  uint32_t stage_ = 0;
  uint32_t pieces_ = 0;
  /// What a stage works on that needs no other stage.
  std::string key_;
  /// Results that every piece works on, in a stage that needs other stages'.
  bool has_inputs_ = false;
  std::vector<std::string> inputs_;
  /// When their makers drop them.
  TimePoint inputs_until_ = TimePoint::max();
  /// When the request's answer should begin, and when its caller gives up.
  TimePoint target_;
  TimePoint deadline_;
  /// 0 is the most urgent.
  uint32_t priority_ = 0;
  /// Approximate size of one result.
  uint64_t result_bytes_ = 0;
  /// Failure domain in which the pieces should be made: where their inputs lie
  /// or their results will be needed. Empty for none.
  std::string near_domain_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_TASK_H_
