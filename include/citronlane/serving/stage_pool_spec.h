#ifndef CITRONLANE_SERVING_STAGE_POOL_SPEC_H_
#define CITRONLANE_SERVING_STAGE_POOL_SPEC_H_

#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// Capacity of each backend server of a stage pool. A call takes `call_time_`
/// however few pieces it contains.
struct StagePoolSpec {
  /// Number of calls at the same time.
  uint32_t slots_ = 1;
  /// Number of calls that may wait at the server.
  uint32_t queue_ = 0;
  /// Maximum number of pieces in a call.
  uint32_t batch_ = 1;
  Duration call_time_{};
  /// Additional time for each piece; approximate, differs by stage.
  Duration piece_time_{};
  /// Capacity for results.
  uint64_t result_capacity_bytes_ = 0;
  /// How long a result is kept unless it is freed.
  Duration result_lifetime_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_STAGE_POOL_SPEC_H_
