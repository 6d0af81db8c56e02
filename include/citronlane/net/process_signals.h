#ifndef CITRONLANE_NET_PROCESS_SIGNALS_H_
#define CITRONLANE_NET_PROCESS_SIGNALS_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronlane {

/// Handles the stop and reload signals of a process that runs on one event
/// loop. All calls and hooks run on that loop's thread.
class ProcessSignals {
 public:
  struct Hooks {
    /// Called for the first SIGTERM or SIGINT only.
    std::function<void()> stop_;
    /// Called for SIGHUP: the settings file has changed and is to be read
    /// again. There are at least 200 ms between two calls; signals that arrive
    /// in between cause one call. Not called after a stop signal.
    std::function<void()> reload_;
  };

  /// Handles SIGTERM, SIGINT and SIGHUP from now on and ignores SIGPIPE. The
  /// default actions stay disabled for the rest of the process, also after the
  /// object is destroyed. `io` must outlive the object.
  ProcessSignals(boost::asio::io_context* io, Hooks hooks);

 private:
  void WaitForReload();
  void Reload();

  const Hooks hooks_;
  /// Separate from `reload_signals_`: a set delivers all pending signals of the
  /// lowest number first, so many SIGHUPs would delay a stop signal.
  boost::asio::signal_set stop_signals_;
  boost::asio::signal_set reload_signals_;
  boost::asio::steady_timer reload_pause_;
  bool is_stopping_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_PROCESS_SIGNALS_H_
