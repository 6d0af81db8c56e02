#ifndef CITRONLANE_TRANSPORT_ORDER_SENDER_H_
#define CITRONLANE_TRANSPORT_ORDER_SENDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// Sends orders to engines, each once and over a connection of its own, which
/// is reset when the order completes or expires, so that it can't arrive later.
/// Thread safe, except Stop and the destructor.
class OrderSender {
 public:
  enum class Outcome {
    kDone,
    /// The engine replied with a 4xx status: the order is invalid, or (409) the
    /// engine knows a newer fencing number.
    kRefused,
    /// No connection, no reply in time, or any other reply. The order may have
    /// been executed.
    kFailed,
  };
  using Done = std::function<void(Outcome)>;

  OrderSender();
  /// Calls Stop; no `done` is called afterwards.
  ~OrderSender();
  OrderSender(const OrderSender&) = delete;
  OrderSender& operator=(const OrderSender&) = delete;

  /// Sends `body` as JSON in a POST of /v1/orders to `address`:`port`. `done`
  /// is called once, from the sender's thread, by `until` at the latest.
  /// Precondition: Stop was not called.
  void Send(const std::string& address,
            uint16_t port,
            std::string body,
            TimePoint until,
            Done done);

  /// Closes all connections and ends the thread; orders in flight complete with
  /// kFailed. May be called again.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_ORDER_SENDER_H_
