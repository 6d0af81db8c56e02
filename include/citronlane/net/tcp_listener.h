#ifndef CITRONLANE_NET_TCP_LISTENER_H_
#define CITRONLANE_NET_TCP_LISTENER_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "citronlane/base/error.h"

namespace citronlane {

/// Accepts connections on one address. All calls and hooks on the event loop's
/// thread.
class TcpListener {
 public:
  using Accepted = std::function<void(boost::asio::ip::tcp::socket socket)>;

  TcpListener(boost::asio::io_context* io,
              std::string address,
              Accepted accepted);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// Binds "IP:port" and starts to accept. False with the reason.
  bool Start(Error* error);
  /// Takes no more connections.
  void Stop();

 private:
  // Kept alive by its operation in flight.
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_TCP_LISTENER_H_
