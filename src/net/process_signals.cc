#include "citronlane/net/process_signals.h"

#include <csignal>
#include <utility>

#include "citronlane/base/time.h"

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
      stop_signals_(*io, SIGTERM, SIGINT),
      reload_signals_(*io, SIGHUP),
      reload_pause_(*io) {
  std::signal(SIGPIPE, SIG_IGN);
  KeepFromDefaultAction();
  stop_signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) {
      is_stopping_ = true;
      reload_signals_.cancel();
      reload_pause_.cancel();
      hooks_.stop_();
    }
  });
  WaitForReload();
}

void ProcessSignals::WaitForReload() {
  reload_signals_.async_wait(
      [this](const boost::system::error_code& error, int) {
        if (!error && !is_stopping_) {
          Reload();
        }
      });
}

void ProcessSignals::Reload() {
  // Those that came meanwhile are answered by this reload too.
  reload_signals_.clear();
  reload_signals_.add(SIGHUP);
  hooks_.reload_();
  reload_pause_.expires_after(kReloadPause);
  reload_pause_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !is_stopping_) {
      WaitForReload();
    }
  });
}

}  // namespace citronlane
