#ifndef CITRONLANE_NET_PROCESS_SIGNALS_H_
#define CITRONLANE_NET_PROCESS_SIGNALS_H_

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronlane {

/// Handles the stop and reload signals of a process that runs on one event
/// loop. All calls and hooks run on that loop's thread.
///
/// The signals stay blocked and are read from descriptors, so that the kernel
/// keeps at most one of each. A signal handler would interrupt the loop for
/// each of them, and a tool that repeats SIGHUP quickly would take all its
/// time.
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

  /// Blocks SIGTERM, SIGINT and SIGHUP in this thread and ignores SIGPIPE in
  /// the process. Threads inherit the signal mask, so call this before any
  /// thread is started. The signals then wait for an object of this class.
  static void Block();

  /// Handles SIGTERM, SIGINT and SIGHUP from now on, also those that came since
  /// `Block`, which must have been called. The signals stay blocked after the
  /// object is destroyed. `io` must outlive the object. Throws
  /// std::system_error when the process has no descriptors left.
  ProcessSignals(boost::asio::io_context* io, Hooks hooks);

 private:
  void WaitForStop();
  void WaitForReload();
  void Reload();

  const Hooks hooks_;
  /// Separate from `reload_signals_`, since the kernel returns pending signals
  /// of the lowest number first.
  boost::asio::posix::stream_descriptor stop_signals_;
  boost::asio::posix::stream_descriptor reload_signals_;
  boost::asio::steady_timer reload_pause_;
  bool is_stopping_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_PROCESS_SIGNALS_H_
