#include "citronlane/process/stop_signals.h"

#include <csignal>
#include <ctime>

namespace citronlane {

StopSignals::StopSignals() : signals_() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void StopSignals::Wait() const {
  int signal = 0;
  sigwait(&signals_, &signal);
}

bool StopSignals::WaitFor(std::chrono::nanoseconds timeout) const {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout);
  timespec limit{};
  limit.tv_sec = seconds.count();
  limit.tv_nsec = (timeout - seconds).count();
  return sigtimedwait(&signals_, nullptr, &limit) > 0;
}

}  // namespace citronlane
