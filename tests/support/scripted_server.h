#ifndef CITRONLANE_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define CITRONLANE_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/threaded_listener.h"

namespace citronlane {

/// An HTTP server that sends the responses of a script, one for each request.
/// An empty response closes the connection instead; "!" closes it after the
/// previous response. Requests must have no body.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::vector<std::string> script)
      : script_(std::move(script)),
        listener_(
            [this](boost::asio::ip::tcp::socket* socket) { Run(socket); }) {}

  uint16_t port() const { return listener_.port(); }
  int reads() const { return reads_; }
  int connections() const { return listener_.connections(); }
  void WaitForClose() const {
    while (closed_ == 0) {
      std::this_thread::yield();
    }
  }

 private:
  void Run(boost::asio::ip::tcp::socket* socket) {
    std::string text;
    boost::system::error_code error;
    bool open = true;
    while (open) {
      const size_t got = boost::asio::read_until(
          *socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", error);
      if (error) {
        break;
      }
      text.erase(0, got);
      ++reads_;
      const std::string response = Next();
      boost::asio::write(*socket, boost::asio::buffer(response), error);
      open = !response.empty() && !ConsumeClose();
    }
    socket->shutdown(boost::asio::ip::tcp::socket::shutdown_both, error);
    ++closed_;
  }

  std::string Next() {
    const std::lock_guard lock(mutex_);
    return next_ < script_.size() ? script_[next_++] : "";
  }
  bool ConsumeClose() {
    const std::lock_guard lock(mutex_);
    const bool close = next_ < script_.size() && script_[next_] == "!";
    next_ += close ? 1 : 0;
    return close;
  }

  const std::vector<std::string> script_;
  std::mutex mutex_;
  size_t next_ = 0;
  std::atomic<int> reads_{0};
  std::atomic<int> closed_{0};
  // Declared last, so that its threads end before the members that they use are
  // destroyed.
  ThreadedListener listener_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_SCRIPTED_SERVER_H_
