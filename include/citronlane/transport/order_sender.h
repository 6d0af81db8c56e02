#ifndef CITRONLANE_TRANSPORT_ORDER_SENDER_H_
#define CITRONLANE_TRANSPORT_ORDER_SENDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// Sends orders to engines, each once over a connection of its own that is
/// closed at the order's end of life. Thread safe.
class OrderSender {
 public:
  enum class Outcome {
    kDone,
    /// The engine refused the order, or knows a newer fencing number.
    kRefused,
    /// No connection, no answer in time, or an answer that can't be used.
    kFailed,
  };
  using Done = std::function<void(Outcome)>;

  OrderSender();
  /// Closes what is open; no `done` is called afterwards.
  ~OrderSender();
  OrderSender(const OrderSender&) = delete;
  OrderSender& operator=(const OrderSender&) = delete;

  /// Posts `body` as JSON to /v1/orders at `address`:`port`. `done` is called
  /// once, from the sender's thread, by `until` at the latest.
  void Send(const std::string& address,
            uint16_t port,
            std::string body,
            TimePoint until,
            Done done);

  /// Closes everything and ends the thread; each open `done` gets kFailed. May
  /// be called twice.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_ORDER_SENDER_H_
