#ifndef CITRONLANE_TRANSPORT_DETAIL_TIMER_QUEUE_H_
#define CITRONLANE_TRANSPORT_DETAIL_TIMER_QUEUE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

#include "citronlane/base/time.h"
#include "citronlane/process/worker_thread.h"

namespace citronlane {

/// Runs tasks at given times, one after the other, on a thread of its own.
/// Thread safe, except Start and Stop.
class TimerQueue {
 public:
  using Task = std::function<void()>;

  TimerQueue() = default;
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  void Start();
  /// Runs the remaining tasks immediately, in order of time, and ends the
  /// thread. Tasks added later run immediately in the calling thread. May be
  /// called again.
  void Stop();

  /// Runs the task at `time`; tasks for the same time run in the order in which
  /// they were added.
  void At(TimePoint time, Task task);
  /// Runs the task as soon as possible.
  void Post(Task task);
  /// Runs the task after `delay`.
  void After(Duration delay, Task task);

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::multimap<TimePoint, Task> tasks_;
  bool is_over_ = false;
  WorkerThread thread_{&mutex_, &wake_};
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_TIMER_QUEUE_H_
