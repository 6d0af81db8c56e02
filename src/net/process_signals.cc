#include "citronlane/net/process_signals.h"

#include <csignal>
#include <utility>

#include "citronlane/base/time.h"

namespace citronlane {
namespace {

/// Shortest time between two reloads, which bounds the cost of tools that
/// repeat the signal until they see its effect. A signal during the pause
/// causes a reload after it.
constexpr Duration kReloadPause = std::chrono::milliseconds(200);

// Registers the signals for the rest of the process: asio restores a signal's
// default action when no signal set has it any more, and a signal that arrives
// while the process exits would then end it with a failure.
void DisableDefaultActions() {
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
  DisableDefaultActions();
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
  // Discards the pending signals: this reload covers them too.
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
