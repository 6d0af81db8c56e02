#ifndef CITRONLANE_ROUTING_DETAIL_OUTLIER_DETECTOR_H_
#define CITRONLANE_ROUTING_DETAIL_OUTLIER_DETECTOR_H_

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/detail/server_state.h"

namespace citronlane {

/// Ejects servers that fail or are slow where their peers are not. When a
/// whole pool is bad nobody is an outlier. Stateless but for its settings.
class OutlierDetector {
 public:
  /// `max_ejected` is the largest part of the pool, 0 to 1, ejected at once.
  explicit OutlierDetector(double max_ejected);

  /// Ejects the worst outliers as far as the floor allows. True when any was.
  bool Eject(TimePoint now, absl::Span<ServerState> servers) const;

  /// Median of the servers' slow factors; 1 without servers.
  static double MedianSlow(TimePoint now,
                           absl::Span<const ServerState> servers);

 private:
  const double max_ejected_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_OUTLIER_DETECTOR_H_
