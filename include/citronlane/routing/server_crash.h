#ifndef CITRONLANE_ROUTING_SERVER_CRASH_H_
#define CITRONLANE_ROUTING_SERVER_CRASH_H_

#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/serving/request_fingerprint.h"

namespace citronlane {

/// The unplanned end of one incarnation of a backend server.
struct ServerCrash {
  /// Id of the incarnation.
  std::string server_;
  TimePoint at_;
  /// Requests that it was running and that may have caused the crash.
  std::vector<RequestFingerprint> running_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_SERVER_CRASH_H_
