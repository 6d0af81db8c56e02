#ifndef CITRONLANE_TESTS_SUPPORT_ENDLESS_SERVER_H_
#define CITRONLANE_TESTS_SUPPORT_ENDLESS_SERVER_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "support/threaded_listener.h"

namespace citronlane {

/// A server that answers the request on its first connection with `head` and
/// then `piece` again and again until the peer closes, and requests on later
/// connections with `next`. Requests must have no body.
class EndlessServer {
 public:
  /// Far above any limit of a reply together with the sockets' buffers. The
  /// server then closes the connection, so that a test whose client does not
  /// close ends, too.
  static constexpr uint64_t kMaxBytes = uint64_t{64} << 20;

  EndlessServer(std::string head,
                const std::string& piece,
                std::string next = {})
      : head_(std::move(head)),
        next_(std::move(next)),
        pieces_(Repeated(piece)),
        listener_(
            [this](boost::asio::ip::tcp::socket* socket) { Run(socket); }) {}

  uint16_t port() const { return listener_.port(); }
  int connections() const { return listener_.connections(); }
  /// Whether kMaxBytes were sent before the client closed.
  bool has_run_out() const { return has_run_out_; }
  /// Waits until the first connection is closed, or has_run_out().
  void WaitForClose() const {
    while (!has_ended_) {
      std::this_thread::yield();
    }
  }

 private:
  static constexpr size_t kWriteBytes = size_t{64} << 10;

  static std::string Repeated(const std::string& piece) {
    std::string pieces;
    while (pieces.size() < kWriteBytes) {
      pieces += piece;
    }
    return pieces;
  }

  void Run(boost::asio::ip::tcp::socket* socket) {
    std::string text;
    boost::system::error_code error;
    boost::asio::read_until(*socket, boost::asio::dynamic_buffer(text),
                            "\r\n\r\n", error);
    if (has_served_.exchange(true)) {
      boost::asio::write(*socket, boost::asio::buffer(next_), error);
    } else {
      boost::asio::write(*socket, boost::asio::buffer(head_), error);
      uint64_t sent = 0;
      while (!error && sent < kMaxBytes) {
        sent +=
            boost::asio::write(*socket, boost::asio::buffer(pieces_), error);
      }
      has_run_out_ = !error;
      has_ended_ = true;
    }
    socket->shutdown(boost::asio::ip::tcp::socket::shutdown_both, error);
  }

  const std::string head_;
  const std::string next_;
  const std::string pieces_;
  std::atomic<bool> has_served_{false};
  std::atomic<bool> has_run_out_{false};
  std::atomic<bool> has_ended_{false};
  // Declared last, so that its threads end before the members that they use are
  // destroyed.
  ThreadedListener listener_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_ENDLESS_SERVER_H_
