#ifndef CITRONLANE_SERVING_ROUTE_H_
#define CITRONLANE_SERVING_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/serving/route_kind.h"
#include "citronlane/serving/route_stage.h"
#include "citronlane/serving/weighted_service.h"

namespace citronlane {

/// How requests for a host and path prefix are served.
struct Route {
  std::string name_;
  std::string host_;
  /// Begins and ends with '/'.
  std::string prefix_;
  RouteKind kind_ = RouteKind::kUnsafe;
  /// Longest time until the response is complete.
  Duration timeout_{};
  /// A response within this time meets the target; for streams, the first
  /// event.
  Duration target_latency_{};
  /// Longest pause between two events that meets the target; 0 for no limit.
  Duration target_gap_{};
  /// Callers abandon a stream that sends no event for this long; 0 for never.
  Duration caller_patience_{};
  /// 0 is the most urgent.
  uint32_t priority_ = 0;
  /// Maximum number of backend servers to which one request may be sent.
  uint32_t max_attempts_ = 1;
  bool is_public_ = false;
  bool resumable_ = false;
  /// At least one; the sum of the weights is above 0.
  std::vector<WeightedService> split_;
  std::vector<RouteStage> stages_;

  /// Whether a request may run more than once.
  bool MayRepeat() const {
    return kind_ == RouteKind::kSafe ||
           (kind_ == RouteKind::kStreaming && resumable_);
  }
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_ROUTE_H_
