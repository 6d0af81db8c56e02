#ifndef CITRONLANE_ADMISSION_ADMISSION_QUERY_H_
#define CITRONLANE_ADMISSION_ADMISSION_QUERY_H_

#include <optional>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// Properties of a new request that admission depends on.
struct AdmissionQuery {
  std::string account_;
  std::string class_name_;
  bool batch_ = false;
  /// Time left until the class's target, and until the deadline.
  Duration target_{};
  Duration deadline_{};
  std::optional<Duration> first_token_target_;
  /// Expected time to the first token and to the full response, when known,
  /// from the routers of all stages.
  std::optional<Duration> expected_first_token_;
  std::optional<Duration> expected_finish_;
  /// Expected cost in micro-units.
  double expected_cost_ = 0;
  /// Whether the pool of a stage is down (PoolRouter::IsDown).
  bool pool_down_ = false;
  /// Whether the pool of a stage has no usable server.
  bool pool_empty_ = false;
  /// Pool that the expected finish depends on most, and its calls in flight and
  /// usable servers.
  std::string bottleneck_pool_;
  size_t pool_in_flight_ = 0;
  size_t pool_servers_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_ADMISSION_QUERY_H_
