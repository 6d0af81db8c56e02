#ifndef CITRONLANE_ADMISSION_ADMISSION_QUERY_H_
#define CITRONLANE_ADMISSION_ADMISSION_QUERY_H_

#include <optional>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// A new request as admission sees it.
struct AdmissionQuery {
  std::string account_;
  std::string class_name_;
  bool batch_ = false;
  /// Time left until the class's target, and until the deadline.
  Duration target_{};
  Duration deadline_{};
  std::optional<Duration> first_token_target_;
  /// Expected time to the first token and to the whole answer, when known,
  /// from the routers of the stages ahead.
  std::optional<Duration> expected_first_token_;
  std::optional<Duration> expected_finish_;
  /// Expected cost in micro-units.
  double expected_cost_ = 0;
  /// Whether a pool of the stages ahead is down (PoolRouter::IsDown).
  bool pool_down_ = false;
  /// Whether a pool of the stages ahead has no usable server.
  bool pool_empty_ = false;
  /// Pool that the expected finish depends on most, and its servers in use.
  std::string bottleneck_pool_;
  size_t pool_in_flight_ = 0;
  size_t pool_servers_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_ADMISSION_QUERY_H_
