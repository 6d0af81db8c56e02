#ifndef CITRONLANE_BENCH_POLICY_EVENT_QUEUE_H_
#define CITRONLANE_BENCH_POLICY_EVENT_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// Event queue of a simulation: runs actions in the order of their time, those
/// with the same time in the order of insertion. Not thread safe.
class EventQueue {
 public:
  using Action = std::function<void()>;

  TimePoint now() const { return now_; }

  /// `when` must not be before now().
  void At(TimePoint when, Action action) {
    events_.push_back({when, next_++, std::move(action)});
    std::push_heap(events_.begin(), events_.end(), Later);
  }
  void After(Duration delay, Action action) {
    At(now_ + delay, std::move(action));
  }

  /// Runs all events up to and including `end`; later ones stay queued.
  void Run(TimePoint end) {
    while (!events_.empty() && events_.front().when_ <= end) {
      std::pop_heap(events_.begin(), events_.end(), Later);
      Event event = std::move(events_.back());
      events_.pop_back();
      now_ = event.when_;
      event.action_();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint when_;
    uint64_t number_;
    Action action_;
  };

  static bool Later(const Event& a, const Event& b) {
    return a.when_ != b.when_ ? a.when_ > b.when_ : a.number_ > b.number_;
  }

  std::vector<Event> events_;
  uint64_t next_ = 0;
  TimePoint now_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_EVENT_QUEUE_H_
