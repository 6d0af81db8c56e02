#ifndef CITRONLANE_RELAY_CALLED_SERVER_H_
#define CITRONLANE_RELAY_CALLED_SERVER_H_

#include "citronlane/base/time.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

/// What is needed to tell from the end of a call whether its server crashed.
struct CalledServer {
  /// As listed when it was called.
  BackendServer server_;
  bool had_first_event_ = false;
  TimePoint first_event_at_;
  /// The call is the trial of a suspended content.
  bool is_trial_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_CALLED_SERVER_H_
