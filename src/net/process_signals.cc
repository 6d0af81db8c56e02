#include "citronlane/net/process_signals.h"

#include <csignal>
#include <utility>

namespace citronlane {

ProcessSignals::ProcessSignals(boost::asio::io_context* io, Hooks hooks)
    : hooks_(std::move(hooks)), signals_(*io, SIGTERM, SIGINT, SIGHUP) {
  std::signal(SIGPIPE, SIG_IGN);
  Wait();
}

void ProcessSignals::Wait() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) {
          return;
        }
        if (signal == SIGHUP) {
          hooks_.reload_();
        } else if (!stopping_) {
          stopping_ = true;
          hooks_.stop_();
        }
        Wait();
      });
}

}  // namespace citronlane
