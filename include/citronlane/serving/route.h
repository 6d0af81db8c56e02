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

/// How requests for one host and path prefix are served.
struct Route {
  std::string name_;
  std::string host_;
  /// Begins and ends with '/'.
  std::string prefix_;
  RouteKind kind_ = RouteKind::kUnsafe;
  /// Longest time until the final answer.
  Duration timeout_{};
  /// Answers within this time meet the target; streams: the first event.
  Duration target_latency_{};
  /// Longest pause between two events that still meets the target; 0: none.
  Duration target_gap_{};
  /// Callers give up a stream that brings no event for this long; 0: never.
  Duration caller_patience_{};
  /// 0 is the most urgent.
  uint32_t priority_ = 0;
  /// Most backend servers that one request may be sent to.
  uint32_t max_attempts_ = 1;
  bool is_public_ = false;
  bool resumable_ = false;
  /// At least one, weights add up to more than 0.
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
