#ifndef CITRONLANE_NET_PROCESS_SIGNALS_H_
#define CITRONLANE_NET_PROCESS_SIGNALS_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronlane {

/// Stop and reload signals of a process that runs on one event loop. On that
/// loop's thread.
class ProcessSignals {
 public:
  struct Hooks {
    /// SIGTERM or SIGINT came; called for the first one only.
    std::function<void()> stop_;
    /// SIGHUP: the settings file has changed. Called once for several that
    /// come in quick succession, and not any more after a stop signal.
    std::function<void()> reload_;
  };

  /// Takes the signals from now on, and keeps them from ending the process also
  /// once the object is gone; ignores SIGPIPE in the process.
  ProcessSignals(boost::asio::io_context* io, Hooks hooks);

 private:
  void WaitForReload();
  void Reload();

  const Hooks hooks_;
  /// Apart from the others: of one set the lowest signal comes first, however
  /// many there are of it.
  boost::asio::signal_set stop_signals_;
  boost::asio::signal_set reload_signals_;
  boost::asio::steady_timer reload_pause_;
  bool is_stopping_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_PROCESS_SIGNALS_H_
