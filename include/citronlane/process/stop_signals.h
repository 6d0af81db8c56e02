#ifndef CITRONLANE_PROCESS_STOP_SIGNALS_H_
#define CITRONLANE_PROCESS_STOP_SIGNALS_H_

#include <signal.h>

#include <chrono>

namespace citronlane {

/// SIGTERM and SIGINT, taken by waiting and not by handlers. Threads inherit
/// the block, so the first one is made before any thread starts.
class StopSignals {
 public:
  /// Blocks both signals in this thread; ignores SIGPIPE in the process.
  StopSignals();

  /// Returns once one of them came. Thread safe.
  void Wait() const;

  /// Returns whether one of them came within `timeout`. Thread safe.
  bool WaitFor(std::chrono::nanoseconds timeout) const;

 private:
  sigset_t signals_;
};

}  // namespace citronlane

#endif  // CITRONLANE_PROCESS_STOP_SIGNALS_H_
