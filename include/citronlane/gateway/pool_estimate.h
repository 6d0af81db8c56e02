#ifndef CITRONLANE_GATEWAY_POOL_ESTIMATE_H_
#define CITRONLANE_GATEWAY_POOL_ESTIMATE_H_

#include <cstddef>
#include <optional>

#include "citronlane/base/time.h"

namespace citronlane {

/// Expected performance of a pool for a new call.
struct PoolEstimate {
  /// Expected time to the end of the call on the best server; empty if unknown.
  std::optional<Duration> finish_;
  /// Expected time to the first byte of a streamed reply; empty if unknown.
  std::optional<Duration> first_byte_;
  /// See PoolRouter::IsDown.
  bool down_ = false;
  size_t in_flight_ = 0;
  size_t usable_servers_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_POOL_ESTIMATE_H_
