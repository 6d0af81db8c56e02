#ifndef CITRONLANE_STAGES_STAGE_WAIT_H_
#define CITRONLANE_STAGES_STAGE_WAIT_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// What a stage pool expects for pieces that were announced now.
struct StageWait {
  /// Until their call begins: behind what goes before them and may still meet
  /// its target, and behind everything that waits or is announced.
  Duration on_time_{};
  Duration all_{};
  /// What a call takes at present.
  Duration call_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_WAIT_H_
