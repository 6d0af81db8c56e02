#ifndef CITRONLANE_ROUTING_REPEAT_BUDGET_H_
#define CITRONLANE_ROUTING_REPEAT_BUDGET_H_

#include <cstddef>
#include <deque>

#include "citronlane/base/time.h"

namespace citronlane {

/// Bounds what one node sends a second time to a service within any window: a
/// part of what it sent for the first time, and its share of a fixed allowance.
/// The shares of all nodes add up to less than the whole bound however traffic
/// moves among them, since each counts its own requests only. Pure. Not thread
/// safe.
class RepeatBudget {
 public:
  struct Options {
    double ratio_ = 0.1;
    /// Over all nodes.
    double extra_ = 0;
    Duration window_ = std::chrono::seconds(10);
  };

  explicit RepeatBudget(const Options& options);

  /// A request was sent for the first time.
  void OnFirst(TimePoint now);
  /// Takes one repeat; false when none is left. `nodes` is how many share the
  /// allowance.
  bool TryTake(TimePoint now, size_t nodes);

  size_t repeats(TimePoint now);

 private:
  void Forget(TimePoint now);

  const Options options_;
  std::deque<TimePoint> first_;
  std::deque<TimePoint> repeats_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_REPEAT_BUDGET_H_
