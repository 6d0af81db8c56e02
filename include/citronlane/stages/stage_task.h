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
  /// Servers may have got pieces of it before.
  bool was_sent_ = false;
  /// The gateway that submits it again had no repeat left: the owner of the
  /// pool pays.
  bool is_unpaid_ = false;
  /// This gateway, or one that forwarded the request, has counted it before.
  bool was_counted_ = false;
  /// Key of the input of a stage that depends on no other stage.
  std::string key_;
  /// Handles of the results that every piece reads, in a stage that depends on
  /// others.
  bool has_inputs_ = false;
  std::vector<std::string> inputs_;
  /// When the producers of the inputs drop them.
  TimePoint inputs_until_ = TimePoint::max();
  /// When the request's response should begin, and when its caller gives up.
  TimePoint target_;
  TimePoint deadline_;
  /// 0 is the most urgent.
  uint32_t priority_ = 0;
  /// Approximate size of one piece's result.
  uint64_t result_bytes_ = 0;
  /// Failure domain in which the pieces should run: where their inputs are held
  /// or their results will be needed. Empty for any.
  std::string near_domain_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_TASK_H_
