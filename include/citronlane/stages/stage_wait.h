#ifndef CITRONLANE_STAGES_STAGE_WAIT_H_
#define CITRONLANE_STAGES_STAGE_WAIT_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// A stage pool's estimate for pieces that are announced now.
struct StageWait {
  /// Time until their call begins, behind the pieces that precede them and can
  /// still meet their target.
  Duration on_time_{};
  /// The same behind all pieces that wait or are announced.
  Duration all_{};
  /// Time of a call at present.
  Duration call_{};
  /// How late the pool's owner itself is, however its servers are loaded.
  Duration owner_lag_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_WAIT_H_
