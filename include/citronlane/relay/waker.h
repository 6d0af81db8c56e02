#ifndef CITRONLANE_RELAY_WAKER_H_
#define CITRONLANE_RELAY_WAKER_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/base/time.h"

namespace citronlane {

class HttpExchange;

/// Suspends a request's handler until something happens. Hooks of calls hold it
/// and may outlive the handler. On the event loop's thread.
class Waker : public std::enable_shared_from_this<Waker> {
 public:
  Waker(boost::asio::io_context* io, HttpExchange* exchange);

  /// Wakes the handler, if it is still there.
  void Wake();
  /// Time is over: wakes the handler, and every wait ends from now on.
  void Expire();
  /// The handler returns: nothing wakes it any more.
  void Detach();

  /// Suspends until `ready` is true, the caller is gone or `until` has come.
  /// Returns whether `ready` is true.
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
