#ifndef CITRONLANE_ROUTING_RETRY_QUERY_H_
#define CITRONLANE_ROUTING_RETRY_QUERY_H_

#include <cstdint>
#include <optional>

#include "citronlane/base/time.h"
#include "citronlane/routing/call_outcome.h"

namespace citronlane {

/// A stage call that ended without a result.
struct RetryQuery {
  CallOutcome outcome_ = CallOutcome::kSuccess;
  bool non_idempotent_ = false;
  /// PoolConfig::rejection_means_not_run_.
  bool rejection_means_not_run_ = false;
  /// Calls made so far for this stage, this one included.
  uint32_t attempts_ = 1;
  /// Time left until the request's deadline.
  Duration remaining_{};
  /// Expected time of another attempt, when known.
  std::optional<Duration> expected_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_RETRY_QUERY_H_
