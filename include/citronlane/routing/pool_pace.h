#ifndef CITRONLANE_ROUTING_POOL_PACE_H_
#define CITRONLANE_ROUTING_POOL_PACE_H_

#include <cstddef>
#include <optional>

namespace citronlane {

/// How long work takes in a pool of servers: a line through the latest samples,
/// a constant part and a part for each unit of work. Not thread safe.
class PoolPace {
 public:
  /// `work` in any unit, at least 0; `seconds` above 0. Samples that are not
  /// finite or out of range are ignored; a sample far above the line counts as
  /// one at its limit.
  void Add(double work, double seconds);

  /// Time for the work, in seconds, above 0; nothing until enough samples are
  /// known.
  std::optional<double> Expected(double work) const;
  /// Mean of the samples, in seconds; nothing until enough samples are known.
  std::optional<double> Mean() const;
  /// Seconds for each unit of work; nothing until enough samples are known.
  std::optional<double> PerUnit() const;

 private:
  struct Line {
    double constant_ = 0;
    double per_unit_ = 0;
  };

  std::optional<Line> Fit() const;

  size_t count_ = 0;
  /// Decayed sums over the samples: of their weights, work, seconds, and
  /// products.
  double weight_ = 0;
  double work_ = 0;
  double seconds_ = 0;
  double work_work_ = 0;
  double work_seconds_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_POOL_PACE_H_
