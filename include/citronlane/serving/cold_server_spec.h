#ifndef CITRONLANE_SERVING_COLD_SERVER_SPEC_H_
#define CITRONLANE_SERVING_COLD_SERVER_SPEC_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// What the cold servers of a service tolerate.
struct ColdServerSpec {
  /// How long a server is cold after its start.
  Duration start_time_{};
  /// Requests a second from all gateways together; more than 0.
  double per_second_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_COLD_SERVER_SPEC_H_
