#include "citronlane/net/process_signals.h"

#include <csignal>
#include <utility>

#include "citronlane/base/steady_now.h"

namespace citronlane {
namespace {

/// Tools that repeat a reload until they see its effect cost a process no more
/// than this: the last signal of a series is acted on too.
constexpr Duration kReloadPause = std::chrono::milliseconds(200);

// While a set has a signal the default action does not come back: without one
// a signal that arrives while the process exits would end it as a failure.
void KeepFromDefaultAction() {
  static boost::asio::io_context io;
  static const boost::asio::signal_set kept(io, SIGTERM, SIGINT, SIGHUP);
}

}  // namespace

ProcessSignals::ProcessSignals(boost::asio::io_context* io, Hooks hooks)
    : hooks_(std::move(hooks)),
      signals_(*io, SIGTERM, SIGINT, SIGHUP),
      reload_timer_(*io) {
  std::signal(SIGPIPE, SIG_IGN);
  KeepFromDefaultAction();
  Wait();
}

void ProcessSignals::Wait() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (signal == SIGHUP) {
          ReloadSoon();
        } else if (!stopping_) {
          stopping_ = true;
          hooks_.stop_();
        }
        Wait();
      });
}

void ProcessSignals::ReloadSoon() {
  if (is_reload_due_ || stopping_) {
    return;
  }
  is_reload_due_ = true;
  reload_timer_.expires_at(next_reload_);
  reload_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    is_reload_due_ = false;
    next_reload_ = SteadyNow() + kReloadPause;
    hooks_.reload_();
  });
}

}  // namespace citronlane
