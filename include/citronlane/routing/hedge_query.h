#ifndef CITRONLANE_ROUTING_HEDGE_QUERY_H_
#define CITRONLANE_ROUTING_HEDGE_QUERY_H_

#include <optional>

#include "citronlane/base/time.h"

namespace citronlane {

/// A call that is still waiting for its first byte, or for its full reply when
/// it does not stream.
struct HedgeQuery {
  bool non_idempotent_ = false;
  bool batch_ = false;
  Duration elapsed_{};
  /// PoolRouter::HedgeDelay.
  std::optional<Duration> delay_;
  /// Expected time of a second call to the same point.
  std::optional<Duration> expected_;
  /// Time left until the call's deadline.
  Duration remaining_{};
  /// AdmissionController::Pressure of the pool.
  double pressure_ = 0;
  /// AdmissionController::SpendIsTight of the class.
  bool spend_tight_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_HEDGE_QUERY_H_
