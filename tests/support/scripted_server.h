#ifndef CITRONLANE_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define CITRONLANE_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace citronlane {

/// A server that answers call after call from a script. An empty answer
/// closes the connection after reading; "!" closes it after the answer before.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::vector<std::string> script)
      : acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        script_(std::move(script)),
        thread_([this] { Accept(); }) {}
  ~ScriptedServer() {
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    for (auto& [socket, thread] : served_) {
      ::shutdown(socket->native_handle(), SHUT_RDWR);
      thread.join();
    }
  }

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  int reads() const { return reads_; }
  int connections() const { return connections_; }
  void WaitForClose() const {
    while (closed_ == 0) {
      std::this_thread::yield();
    }
  }

 private:
  void Accept() {
    boost::system::error_code error;
    while (!error) {
      auto socket = std::make_unique<boost::asio::ip::tcp::socket>(io_);
      acceptor_.accept(*socket, error);
      if (!error) {
        ++connections_;
        boost::asio::ip::tcp::socket* const accepted = socket.get();
        served_.emplace_back(std::move(socket),
                             std::thread([this, accepted] { Run(accepted); }));
      }
    }
  }

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
      const std::string answer = Next();
      boost::asio::write(*socket, boost::asio::buffer(answer), error);
      open = !answer.empty() && !TakeClose();
    }
    socket->shutdown(boost::asio::ip::tcp::socket::shutdown_both, error);
    ++closed_;
  }

  std::string Next() {
    const std::lock_guard lock(mutex_);
    return next_ < script_.size() ? script_[next_++] : "";
  }
  bool TakeClose() {
    const std::lock_guard lock(mutex_);
    const bool close = next_ < script_.size() && script_[next_] == "!";
    next_ += close ? 1 : 0;
    return close;
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::vector<std::string> script_;
  std::mutex mutex_;
  size_t next_ = 0;
  std::vector<
      std::pair<std::unique_ptr<boost::asio::ip::tcp::socket>, std::thread>>
      served_;
  std::atomic<int> reads_{0};
  std::atomic<int> connections_{0};
  std::atomic<int> closed_{0};
  std::thread thread_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_SCRIPTED_SERVER_H_
