#ifndef CITRONLANE_ROUTING_SERVER_LIMIT_H_
#define CITRONLANE_ROUTING_SERVER_LIMIT_H_

#include <optional>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// What a backend server said of its limits in a reply.
struct ServerLimit {
  /// Id of the incarnation.
  std::string server_;
  /// Requests a second that it takes from all gateways together; nothing when
  /// it named no limit.
  std::optional<double> per_second_;
  /// When the head of the reply arrived.
  TimePoint at_;
  /// Calls a second that it bears to refuse for want of room, without falling
  /// over; nothing when it named no number.
  std::optional<double> max_refusals_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_SERVER_LIMIT_H_
