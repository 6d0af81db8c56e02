#ifndef CITRONLANE_ROUTING_SERVER_CHOICE_H_
#define CITRONLANE_ROUTING_SERVER_CHOICE_H_

#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// The backend server chosen for a call.
struct ServerChoice {
  std::string server_;
  /// Expected time until the call is done, from the server's speed and load.
  Duration expected_finish_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_SERVER_CHOICE_H_
