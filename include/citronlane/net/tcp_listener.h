#ifndef CITRONLANE_NET_TCP_LISTENER_H_
#define CITRONLANE_NET_TCP_LISTENER_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "citronlane/base/error.h"

namespace citronlane {

/// Accepts connections on one address. All calls and hooks run on the event
/// loop's thread.
class TcpListener {
 public:
  using Accepted = std::function<void(boost::asio::ip::tcp::socket socket)>;

  /// `io` must outlive the listener.
  TcpListener(boost::asio::io_context* io,
              std::string address,
              Accepted accepted);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// Binds the address, which must be "IP:port", and starts to accept. Returns
  /// false and sets `error` on failure.
  bool Start(Error* error);
  /// Accepts no more connections.
  void Stop();

 private:
  // Kept alive by its operation in flight.
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_TCP_LISTENER_H_
