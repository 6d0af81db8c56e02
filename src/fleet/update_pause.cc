#include "citronlane/fleet/update_pause.h"

#include <algorithm>

namespace citronlane {
namespace {

/// Reading takes a fifth of the processor at most.
constexpr int kPausePerReadingTime = 4;
/// A change must be in force within a few seconds, and may have to wait for one
/// pause.
constexpr Duration kLongest = std::chrono::milliseconds(800);
/// Shorter pauses spare nothing that a request would notice.
constexpr Duration kShortest = std::chrono::milliseconds(50);

}  // namespace

Duration PauseAfterUpdate(Duration took) {
  const Duration pause = std::min(took * kPausePerReadingTime, kLongest);
  return pause < kShortest ? Duration::zero() : pause;
}

}  // namespace citronlane
