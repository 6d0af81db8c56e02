#ifndef CITRONLANE_ROUTING_STAGE_TIME_H_
#define CITRONLANE_ROUTING_STAGE_TIME_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// What one stage may take of the time that is left.
struct StageTime {
  /// After this a call that has answered nothing is worth trying elsewhere; it
  /// goes on when RetryPolicy does not grant another try.
  Duration share_{};
  /// After this the stages behind could not be done in time.
  Duration limit_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_STAGE_TIME_H_
