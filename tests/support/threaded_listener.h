#ifndef CITRONLANE_TESTS_SUPPORT_THREADED_LISTENER_H_
#define CITRONLANE_TESTS_SUPPORT_THREADED_LISTENER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace citronlane {

/// Listens on a port of 127.0.0.1 and serves each connection on its own thread.
class ThreadedListener {
 public:
  /// Called on the connection's thread; must return when the peer has closed
  /// the connection.
  using Serve = std::function<void(boost::asio::ip::tcp::socket* socket)>;

  explicit ThreadedListener(Serve serve);
  /// Closes all connections and joins their threads.
  ~ThreadedListener();
  ThreadedListener(const ThreadedListener&) = delete;
  ThreadedListener& operator=(const ThreadedListener&) = delete;

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  int connections() const { return connections_; }

 private:
  void Accept();

  const Serve serve_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<
      std::pair<std::unique_ptr<boost::asio::ip::tcp::socket>, std::thread>>
      served_;
  std::atomic<int> connections_{0};
  std::thread thread_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_THREADED_LISTENER_H_
