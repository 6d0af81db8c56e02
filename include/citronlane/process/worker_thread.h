#ifndef CITRONLANE_PROCESS_WORKER_THREAD_H_
#define CITRONLANE_PROCESS_WORKER_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace citronlane {

/// A thread that works until it is told to stop. Its owner's mutex also guards
/// the wish to stop, so that one wait serves that and the owner's own state.
/// Start and Stop are called by one thread.
class WorkerThread {
 public:
  /// Both outlive the object; the thread waits on `wake` for what it does next.
  WorkerThread(std::mutex* mutex, std::condition_variable* wake);
  /// Precondition: stopped, or never started.
  ~WorkerThread() = default;
  WorkerThread(const WorkerThread&) = delete;
  WorkerThread& operator=(const WorkerThread&) = delete;

  /// Runs `run`, which returns soon after is_stopping() has become true. Call
  /// once at most.
  void Start(std::function<void()> run);
  /// Wakes the thread and waits for its end, if it was started. May be called
  /// twice. Precondition: the mutex is not held.
  void Stop();
  /// Precondition: the mutex is held, by any thread.
  bool is_stopping() const { return is_stopping_; }

 private:
  std::mutex* const mutex_;
  std::condition_variable* const wake_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace citronlane

#endif  // CITRONLANE_PROCESS_WORKER_THREAD_H_
