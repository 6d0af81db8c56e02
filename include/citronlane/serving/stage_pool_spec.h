#ifndef CITRONLANE_SERVING_STAGE_POOL_SPEC_H_
#define CITRONLANE_SERVING_STAGE_POOL_SPEC_H_

#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// What each backend server of a stage pool can take. A call costs `call_time_`
/// however few pieces it carries.
struct StagePoolSpec {
  /// Calls at the same time.
  uint32_t slots_ = 1;
  /// Calls that may wait at the server.
  uint32_t queue_ = 0;
  /// Most pieces a call.
  uint32_t batch_ = 1;
  Duration call_time_{};
  /// Approximate; differs by stage.
  Duration piece_time_{};
  /// Room for results.
  uint64_t room_bytes_ = 0;
  /// How long a result is kept that nobody frees.
  Duration result_life_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_STAGE_POOL_SPEC_H_
