#ifndef CITRONLANE_NET_PROCESS_SIGNALS_H_
#define CITRONLANE_NET_PROCESS_SIGNALS_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/base/time.h"

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
  void Wait();
  void ReloadSoon();

  const Hooks hooks_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer reload_timer_;
  /// Earliest time of the next one.
  TimePoint next_reload_;
  bool is_reload_due_ = false;
  bool stopping_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_PROCESS_SIGNALS_H_
