#ifndef CITRONLANE_NET_PROCESS_SIGNALS_H_
#define CITRONLANE_NET_PROCESS_SIGNALS_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace citronlane {

/// Stop and reload signals of a process that runs on one event loop. On that
/// loop's thread.
class ProcessSignals {
 public:
  struct Hooks {
    /// SIGTERM or SIGINT came; called for the first one only.
    std::function<void()> stop_;
    /// SIGHUP: the settings file has changed.
    std::function<void()> reload_;
  };

  /// Takes the signals from now on; ignores SIGPIPE in the process.
  ProcessSignals(boost::asio::io_context* io, Hooks hooks);

 private:
  void Wait();

  const Hooks hooks_;
  boost::asio::signal_set signals_;
  bool stopping_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_PROCESS_SIGNALS_H_
