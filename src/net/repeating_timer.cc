#include "citronlane/net/repeating_timer.h"

#include <utility>

#include "citronlane/base/steady_now.h"

namespace citronlane {

RepeatingTimer::RepeatingTimer(boost::asio::io_context* io,
                               Duration pause,
                               std::function<void(TimePoint now)> hook)
    : pause_(pause), hook_(std::move(hook)), timer_(*io) {
  Wait();
}

void RepeatingTimer::Wait() {
  timer_.expires_after(pause_);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    hook_(SteadyNow());
    Wait();
  });
}

}  // namespace citronlane
