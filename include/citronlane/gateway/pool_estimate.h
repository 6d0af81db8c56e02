#ifndef CITRONLANE_GATEWAY_POOL_ESTIMATE_H_
#define CITRONLANE_GATEWAY_POOL_ESTIMATE_H_

#include <cstddef>
#include <optional>

#include "citronlane/base/time.h"

namespace citronlane {

/// What a pool can promise a new call.
struct PoolEstimate {
  /// Best expected finish; nothing when it is not known yet.
  std::optional<Duration> finish_;
  /// The same for the first byte of a streamed answer.
  std::optional<Duration> first_byte_;
  /// PoolRouter::IsDown.
  bool down_ = false;
  size_t in_flight_ = 0;
  size_t usable_servers_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_POOL_ESTIMATE_H_
