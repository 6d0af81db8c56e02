#ifndef CITRONLANE_ROUTING_COLD_SERVER_H_
#define CITRONLANE_ROUTING_COLD_SERVER_H_

#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// A server that tolerates few requests for now.
struct ColdServer {
  std::string server_;
  /// Requests a second from all gateways together.
  double per_second_ = 0;
  TimePoint until_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_COLD_SERVER_H_
