#ifndef CITRONLANE_NET_REPEATING_TIMER_H_
#define CITRONLANE_NET_REPEATING_TIMER_H_

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/base/time.h"

namespace citronlane {

/// Calls a hook repeatedly on the event loop's thread, from construction until
/// destruction. `pause` is the time before the first call and between the end
/// of a call and the next one. The hook must not destroy the timer.
class RepeatingTimer {
 public:
  RepeatingTimer(boost::asio::io_context* io,
                 Duration pause,
                 std::function<void(TimePoint now)> hook);
  RepeatingTimer(const RepeatingTimer&) = delete;
  RepeatingTimer& operator=(const RepeatingTimer&) = delete;

 private:
  void Wait();

  const Duration pause_;
  const std::function<void(TimePoint now)> hook_;
  boost::asio::steady_timer timer_;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_REPEATING_TIMER_H_
