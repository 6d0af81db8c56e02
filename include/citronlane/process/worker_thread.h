#ifndef CITRONLANE_PROCESS_WORKER_THREAD_H_
#define CITRONLANE_PROCESS_WORKER_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace citronlane {

/// A thread with a stop flag. The flag is guarded by the owner's mutex, so that
/// the thread can wait on one condition variable for a stop and for changes of
/// the owner's state. Start and Stop must be called by the same thread.
class WorkerThread {
 public:
  /// Both must outlive the object. `wake` is the condition variable on which
  /// the thread, and no other one, waits; Stop notifies it once.
  WorkerThread(std::mutex* mutex, std::condition_variable* wake);
  /// Precondition: stopped, or never started.
  ~WorkerThread() = default;
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  /// Starts a thread that calls `run`, which must return soon after
  /// is_stopping() has become true. To be called at most once.
  void Start(std::function<void()> run);
  /// Sets the stop flag, wakes the thread and joins it if it was started. May
  /// be called again. Precondition: the caller does not hold the mutex.
  void Stop();
  /// Precondition: the caller holds the mutex.
  bool is_stopping() const { return is_stopping_; }

 private:
  std::mutex* const mutex_;
  std::condition_variable* const wake_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace citronlane

#endif  // CITRONLANE_PROCESS_WORKER_THREAD_H_
