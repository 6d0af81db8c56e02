#ifndef CITRONLANE_OBSERVE_METRICS_H_
#define CITRONLANE_OBSERVE_METRICS_H_

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/observe/metric.h"

namespace citronlane {

/// Counters, gauges and histograms of a process. Threads are spread over
/// shards, each with a lock of its own; reading adds the shards up. Once a
/// metric has its maximum number of series, further ones are counted in a
/// series whose label values are all "other". Thread safe.
class Metrics {
 public:
  using Labels = std::initializer_list<std::string_view>;

  /// Content type of Text().
  static constexpr char kContentType[] = "text/plain; version=0.0.4";

  static constexpr size_t kDefaultMaxSeries = 20'000;

  static constexpr size_t kDefaultShards = 16;

  /// `max_series_per_metric` applies to each shard by itself. Precondition: at
  /// least one shard.
  explicit Metrics(size_t max_series_per_metric = kDefaultMaxSeries,
                   size_t shards = kDefaultShards);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds `amount` to a counter. Precondition of this and the next two methods:
  /// `metric` is one of kAllMetrics and of that kind, and `labels` has one
  /// value for each of its labels.
  void Count(const Metric& metric, Labels labels, double amount = 1);
  /// Adds an observation to a histogram.
  void Observe(const Metric& metric, Labels labels, Duration time);
  /// Sets a gauge.
  void Set(const Metric& metric, Labels labels, double value);

  /// Returns the value of a counter or gauge, or the number of observations of
  /// a histogram; 0 when there is no such series.
  double Value(const Metric& metric, Labels labels) const;

  /// Returns all series in the Prometheus text format.
  std::string Text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_METRICS_H_
