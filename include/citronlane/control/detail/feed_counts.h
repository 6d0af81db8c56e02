#ifndef CITRONLANE_CONTROL_DETAIL_FEED_COUNTS_H_
#define CITRONLANE_CONTROL_DETAIL_FEED_COUNTS_H_

#include <cstddef>
#include <cstdint>

namespace citronlane {

/// Counts of a control VM with a GatewayFeed, for its metrics.
struct FeedCounts {
  /// Requests, by content, that no backend server may get.
  size_t blocked_requests_ = 0;
  /// Servers of the last list that this VM read whose cold time can't be read.
  size_t invalid_cold_times_ = 0;
  /// Orders to drain a failure domain that no listed server is in.
  uint64_t unknown_domain_orders_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_FEED_COUNTS_H_
