#ifndef CITRONLANE_ROUTING_DETAIL_PEER_LOAD_H_
#define CITRONLANE_ROUTING_DETAIL_PEER_LOAD_H_

#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// Calls in flight at a server that one other gateway last reported.
struct PeerLoad {
  uint32_t gateway_ = 0;
  double in_flight_ = 0;
  TimePoint at_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_PEER_LOAD_H_
