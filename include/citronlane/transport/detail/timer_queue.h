#ifndef CITRONLANE_TRANSPORT_DETAIL_TIMER_QUEUE_H_
#define CITRONLANE_TRANSPORT_DETAIL_TIMER_QUEUE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

#include "citronlane/base/time.h"
#include "citronlane/process/worker_thread.h"

namespace citronlane {

/// Runs tasks at their time, one after the other, on a thread of its own.
/// Thread safe, but Start and Stop.
class TimerQueue {
 public:
  using Task = std::function<void()>;

  TimerQueue() = default;
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  void Start();
  /// Runs what is left at once, in order of time, and ends the thread. Tasks
  /// given later run in the caller. May be called twice.
  void Stop();

  /// Runs the task at `time`; tasks of one time run in the order given.
  void At(TimePoint time, Task task);
  /// Runs the task as soon as possible.
  void Post(Task task);
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
