#include "citronlane/net/process_signals.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <initializer_list>
#include <system_error>
#include <utility>

#include "citronlane/base/time.h"

namespace citronlane {
namespace {

/// Shortest time between two reloads, which bounds the cost of tools that
/// repeat the signal until they see its effect. A signal during the pause
/// causes a reload after it.
constexpr Duration kReloadPause = std::chrono::milliseconds(200);

sigset_t SetOf(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) {
    sigaddset(&set, signal);
  }
  return set;
}

/// Returns a descriptor from which pending signals of the set can be read.
int OpenSignals(std::initializer_list<int> signals) {
  const sigset_t set = SetOf(signals);
  const int descriptor = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "signalfd");
  }
  return descriptor;
}

/// Takes a pending signal; returns whether there was one.
bool TakeSignal(int descriptor) {
  signalfd_siginfo info{};
  return ::read(descriptor, &info, sizeof(info)) == sizeof(info);
}

}  // namespace

void ProcessSignals::Block() {
  const sigset_t set = SetOf({SIGTERM, SIGINT, SIGHUP});
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::ProcessSignals(boost::asio::io_context* io, Hooks hooks)
    : hooks_(std::move(hooks)),
      stop_signals_(*io, OpenSignals({SIGTERM, SIGINT})),
      reload_signals_(*io, OpenSignals({SIGHUP})),
      reload_pause_(*io) {
  WaitForStop();
  WaitForReload();
}

void ProcessSignals::WaitForStop() {
  stop_signals_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                           [this](const boost::system::error_code& error) {
                             if (error) {
                               return;
                             }
                             if (!TakeSignal(stop_signals_.native_handle())) {
                               WaitForStop();
                               return;
                             }
                             is_stopping_ = true;
                             reload_signals_.cancel();
                             reload_pause_.cancel();
                             hooks_.stop_();
                           });
}

void ProcessSignals::WaitForReload() {
  reload_signals_.async_wait(
      boost::asio::posix::stream_descriptor::wait_read,
      [this](const boost::system::error_code& error) {
        if (error || is_stopping_) {
          return;
        }
        if (TakeSignal(reload_signals_.native_handle())) {
          Reload();
        } else {
          WaitForReload();
        }
      });
}

void ProcessSignals::Reload() {
  hooks_.reload_();
  reload_pause_.expires_after(kReloadPause);
  reload_pause_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !is_stopping_) {
      WaitForReload();
    }
  });
}

}  // namespace citronlane
