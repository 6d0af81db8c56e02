// Guards against a gateway that reads more requests than it can serve: callers
// may send any request elsewhere only if it was left unread.

#include <catch2/catch.hpp>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/relay/relay_service.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"
#include "support/raw_call.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto kCall =
    "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
constexpr auto kKeptCall = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// A listener on a thread of its own, which counts the requests it serves.
class CountingListener {
 public:
  CountingListener() : listener_({&io_}, HttpLimits(), Hooks()) {
    Error error;
    REQUIRE(listener_.Listen("127.0.0.1", 0, &error));
    thread_ = std::thread([this] { io_.run(); });
  }
  ~CountingListener() {
    listener_.StopAccepting();
    thread_.join();
  }
  CountingListener(const CountingListener&) = delete;
  CountingListener& operator=(const CountingListener&) = delete;

  uint16_t port() const { return listener_.port(); }
  int served() const { return served_; }
  void set_may_read(bool may_read) { may_read_ = may_read; }

 private:
  HttpListenerHooks Hooks() {
    HttpListenerHooks hooks;
    hooks.serve_ = [this](size_t, const HttpRequest&, HttpExchange* exchange) {
      ++served_;
      exchange->Reply({});
    };
    hooks.refuse_ = [](RefusalReason) { return HttpReply(); };
    hooks.may_read_ = [this](const std::function<bool()>&) {
      return may_read_.load();
    };
    return hooks;
  }

  std::atomic<bool> may_read_{true};
  std::atomic<int> served_{0};
  asio::io_context io_;
  HttpListener listener_;
  std::thread thread_;
};

}  // namespace

TEST_CASE("a listener that may read no more requests") {
  CountingListener listener;

  SECTION("closes new connections without a response") {
    listener.set_may_read(false);
    CHECK(SendRaw(listener.port(), kCall).empty());
    CHECK(listener.served() == 0);
  }
  SECTION("serves new connections again later") {
    listener.set_may_read(false);
    SendRaw(listener.port(), kCall);
    listener.set_may_read(true);
    CHECK_FALSE(SendRaw(listener.port(), kCall).empty());
    CHECK(listener.served() == 1);
  }
  SECTION("serves connections that callers keep") {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), listener.port()});
    std::string received;
    for (int i = 1; i <= 2; ++i) {
      asio::write(socket, asio::buffer(std::string(kKeptCall)));
      error_code error;
      const size_t size = asio::read_until(
          socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
      CHECK_FALSE(error);
      received.erase(0, size);
      CHECK(listener.served() == i);
      listener.set_may_read(false);
    }
  }
}

TEST_CASE("a gateway takes first requests up to a part of its maximum") {
  const RelayService service(nullptr, 80, 1000);
  CHECK(service.MayTakeFirst(0));
  CHECK(service.MayTakeFirst(69));
  CHECK_FALSE(service.MayTakeFirst(70));
  CHECK_FALSE(service.MayTakeFirst(1000));
}

}  // namespace citronlane
