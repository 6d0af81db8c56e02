#ifndef CITRONLANE_FLEET_UPDATE_PAUSE_H_
#define CITRONLANE_FLEET_UPDATE_PAUSE_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// How long a receiver puts off the next update after one that took it `took`
/// to read, so that a series of large ones leaves it most of its processor.
/// None after one that was quick. Thread safe.
Duration PauseAfterUpdate(Duration took);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_UPDATE_PAUSE_H_
