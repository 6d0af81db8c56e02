#include "citronlane/fleet/update_pause.h"

#include <algorithm>

namespace citronlane {
namespace {

/// Pause per processing time: keeps updates at a fifth of the processor, as
/// long as the pause is below kMaxPause.
constexpr int kPausePerProcessingTime = 4;
/// A change must be in force within a few seconds and may have to wait for one
/// pause.
constexpr Duration kMaxPause = std::chrono::milliseconds(800);
/// A shorter pause would not be noticeable to requests.
constexpr Duration kMinPause = std::chrono::milliseconds(50);

}  // namespace

Duration PauseAfterUpdate(Duration took) {
  const Duration pause = std::min(took * kPausePerProcessingTime, kMaxPause);
  return pause < kMinPause ? Duration::zero() : pause;
}

}  // namespace citronlane
