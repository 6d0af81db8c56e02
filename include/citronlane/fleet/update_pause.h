#ifndef CITRONLANE_FLEET_UPDATE_PAUSE_H_
#define CITRONLANE_FLEET_UPDATE_PAUSE_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// Returns how long a receiver should delay the next update after one that took
/// `took` to process, so that a series of large updates leaves most of the
/// processor for requests. Zero after a quick update. Thread safe.
Duration PauseAfterUpdate(Duration took);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_UPDATE_PAUSE_H_
