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

/// Counters, gauges and histograms of a process. Threads write to shards of
/// their own, each under its own lock; reading sums them. The number of series
/// per metric is bounded: beyond, every label value becomes "other". Thread
/// safe.
class Metrics {
 public:
  using Labels = std::initializer_list<std::string_view>;

  /// Of the Prometheus text format, in which Text() is.
  static constexpr char kContentType[] = "text/plain; version=0.0.4";

  static constexpr size_t kDefaultMaxSeries = 20'000;

  static constexpr size_t kDefaultShards = 16;

  /// The bound holds for each shard. Precondition: at least one shard.
  explicit Metrics(size_t max_series_per_metric = kDefaultMaxSeries,
                   size_t shards = kDefaultShards);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Preconditions for all: `metric` is of that kind, one of kAllMetrics, and
  /// `labels` has one value for each of its labels.
  void Count(const Metric& metric, Labels labels, double amount = 1);
  void Observe(const Metric& metric, Labels labels, Duration time);
  void Set(const Metric& metric, Labels labels, double value);

  /// Present value of a counter or gauge, or the number of observations of a
  /// histogram; 0 when there is none.
  double Value(const Metric& metric, Labels labels) const;

  /// Returns everything in the Prometheus text format.
  std::string Text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_METRICS_H_
