#ifndef CITRONLANE_ROUTING_DETAIL_OUTLIER_DETECTOR_H_
#define CITRONLANE_ROUTING_DETAIL_OUTLIER_DETECTOR_H_

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/detail/server_state.h"

namespace citronlane {

/// Ejects servers that fail or are slow while the other servers of the pool are
/// not. Where the whole pool fails or is slow, there are no outliers.
/// Immutable, but changes the servers passed in: thread safe as far as they are
/// not shared.
class OutlierDetector {
 public:
  /// `max_ejected_fraction` is the largest fraction of the pool, 0 to 1, that
  /// may be ejected at once.
  explicit OutlierDetector(double max_ejected_fraction);

  /// Ejects the worst outliers up to the largest fraction. Returns whether any
  /// was ejected.
  bool Eject(TimePoint now, absl::Span<ServerState> servers) const;

  /// Median of the servers' slow factors; 1 without servers.
  static double MedianSlowFactor(TimePoint now,
                                 absl::Span<const ServerState> servers);

 private:
  const double max_ejected_fraction_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_OUTLIER_DETECTOR_H_
