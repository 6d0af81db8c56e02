#ifndef CITRONLANE_ROUTING_DETAIL_LATENCY_WINDOW_H_
#define CITRONLANE_ROUTING_DETAIL_LATENCY_WINDOW_H_

#include <cstddef>
#include <optional>
#include <tuple>

#include <boost/histogram.hpp>

#include "citronlane/base/time.h"

namespace citronlane {

/// Quantiles of recent latencies, over the current and the previous time
/// window. A Quantile call scans all histogram bins. Not thread safe.
class LatencyWindow {
 public:
  explicit LatencyWindow(Duration window);

  void Add(TimePoint now, Duration latency);
  /// `quantile` is 0 to 1. Nullopt without samples or with fewer than
  /// `min_samples`. Windows advance in Add only.
  std::optional<Duration> Quantile(double quantile, size_t min_samples) const;
  /// Samples in both windows.
  size_t count() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<double>>;

  static Histogram MakeHistogram();
  void Rotate(TimePoint now);

  const Duration window_;
  Histogram current_;
  Histogram previous_;
  size_t current_count_ = 0;
  size_t previous_count_ = 0;
  TimePoint window_end_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_LATENCY_WINDOW_H_
