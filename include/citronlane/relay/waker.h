#ifndef CITRONLANE_RELAY_WAKER_H_
#define CITRONLANE_RELAY_WAKER_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/base/time.h"

namespace citronlane {

class HttpExchange;

/// Suspends a request's handler until an event occurs. The hooks of calls hold
/// it and may outlive the handler. Used on the event loop's thread.
class Waker : public std::enable_shared_from_this<Waker> {
 public:
  Waker(boost::asio::io_context* io, HttpExchange* exchange);

  /// Wakes the handler unless it is detached.
  void Wake();
  /// Wakes the handler; every wait ends immediately from now on.
  void Expire();
  /// Call when the handler returns: nothing wakes it any more.
  void Detach();

  /// Suspends until `ready` returns true, the caller is gone or `until` is
  /// reached. Returns the final value of `ready`. Precondition: not detached.
  bool WaitUntil(const std::function<bool()>& ready, TimePoint until);

  bool caller_gone() const;

 private:
  /// Null once detached.
  HttpExchange* exchange_;
  bool is_expired_ = false;
  boost::asio::steady_timer timer_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_WAKER_H_
