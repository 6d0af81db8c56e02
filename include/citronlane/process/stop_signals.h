#ifndef CITRONLANE_PROCESS_STOP_SIGNALS_H_
#define CITRONLANE_PROCESS_STOP_SIGNALS_H_

#include <signal.h>

#include <chrono>

namespace citronlane {

/// Receives SIGTERM and SIGINT by waiting for them instead of by signal
/// handlers. That requires the signals to be blocked in all threads. Threads
/// inherit the signal mask, so the first object must be constructed before any
/// thread is started.
class StopSignals {
 public:
  /// Blocks both signals in this thread and ignores SIGPIPE in the process.
  StopSignals();

  /// Returns once one of the signals was received. Thread safe.
  void Wait() const;

  /// Waits at most `timeout`; returns whether one of the signals was received.
  /// Thread safe.
  bool WaitFor(std::chrono::nanoseconds timeout) const;

 private:
  sigset_t signals_;
};

}  // namespace citronlane

#endif  // CITRONLANE_PROCESS_STOP_SIGNALS_H_
