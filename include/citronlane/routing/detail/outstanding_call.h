#ifndef CITRONLANE_ROUTING_DETAIL_OUTSTANDING_CALL_H_
#define CITRONLANE_ROUTING_DETAIL_OUTSTANDING_CALL_H_

#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// One call of this gateway that a server has not finished.
struct OutstandingCall {
  TimePoint start_{};
  /// Number of the server's other calls when this one started.
  double load_ = 0;
  /// The pool's typical time of such a call at `load_`.
  Duration expected_{};
  uint32_t priority_ = 1;
  /// Time to the first byte; zero until it arrived.
  Duration first_byte_{};
  /// Whether the server was assumed to hold the call's prefix.
  bool prefix_hit_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_OUTSTANDING_CALL_H_
