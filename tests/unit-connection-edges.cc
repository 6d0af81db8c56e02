// The edges of a kept connection: a request that arrives beside a stop is
// answered, and one that arrives after a change of the limits is judged by the
// new ones. The event loop is run by hand, so that the order is certain.

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;

constexpr auto kKeptCall = "GET /kept HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr auto kLastCall =
    "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// A listener whose event loop the test runs, and one caller's connection.
class HandRunListener {
 public:
  explicit HandRunListener(const HttpLimits& limits = HttpLimits())
      : listener_({&io_}, limits, Hooks()), caller_(caller_io_) {
    Error error;
    REQUIRE(listener_.Listen("127.0.0.1", 0, &error));
    caller_.connect({asio::ip::make_address("127.0.0.1"), listener_.port()});
  }

  /// Runs the event loop until the connection waits for a request.
  void AwaitIdle() {
    while (listener_.connections() == 0) {
      io_.run_one();
    }
    io_.poll();
  }

  void SendCall(const std::string& text) {
    asio::write(caller_, asio::buffer(text));
  }

  void CloseSending() {
    caller_.shutdown(asio::ip::tcp::socket::shutdown_send);
  }

  /// Runs the event loop until the connection is closed. Returns what the
  /// caller received.
  std::string ReceiveUntilClosed() {
    while (listener_.connections() > 0) {
      io_.run_one();
    }
    std::string answer;
    boost::system::error_code error;
    asio::read(caller_, asio::dynamic_buffer(answer), error);
    return answer;
  }

  asio::io_context io_;
  /// Called after each response.
  std::function<void()> replied_;
  std::vector<std::string> served_;
  std::vector<std::string> unanswered_;
  HttpListener listener_;

 private:
  HttpListenerHooks Hooks() {
    HttpListenerHooks hooks;
    hooks.serve_ = [this](size_t, const HttpRequest& request,
                          HttpExchange* exchange) {
      served_.push_back(request.target_);
      exchange->Reply({});
      if (replied_) {
        replied_();
      }
    };
    hooks.refuse_ = [](RefusalReason) {
      HttpReply reply;
      reply.status_ = 400;
      return reply;
    };
    hooks.unanswered_ = [this](const HttpRequest& request, std::string_view) {
      unanswered_.push_back(request.target_);
    };
    return hooks;
  }

  asio::io_context caller_io_;
  asio::ip::tcp::socket caller_;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a stop of the listener") {
  HandRunListener run;

  SECTION("closes a connection without a request") {
    run.AwaitIdle();
    run.listener_.StopAccepting();
    CHECK(run.ReceiveUntilClosed().empty());
    CHECK(run.served_.empty());
  }

  SECTION("serves a request that arrives before the connection is closed") {
    run.AwaitIdle();
    run.listener_.StopAccepting();
    run.SendCall(kKeptCall);
    const std::string answer = run.ReceiveUntilClosed();
    CHECK(Contains(answer, "HTTP/1.1 200"));
    CHECK(Contains(answer, "Connection: close"));
    CHECK(run.served_ == std::vector<std::string>{"/kept"});
    CHECK(run.unanswered_.empty());
  }

  SECTION("serves a request behind a response that kept the connection") {
    run.AwaitIdle();
    run.replied_ = [&run] {
      if (run.served_.size() == 1) {
        run.SendCall(kKeptCall);
        run.listener_.StopAccepting();
      }
    };
    run.SendCall(kKeptCall);
    const std::string answer = run.ReceiveUntilClosed();
    CHECK(Contains(answer, "Connection: close"));
    CHECK(run.served_ == std::vector<std::string>{"/kept", "/kept"});
    CHECK(run.unanswered_.empty());
  }

  SECTION("serves a request on a connection that it has just accepted") {
    run.SendCall(kKeptCall);
    while (run.listener_.connections() == 0) {
      run.io_.run_one();
    }
    run.listener_.StopAccepting();
    CHECK(Contains(run.ReceiveUntilClosed(), "HTTP/1.1 200"));
  }
}

TEST_CASE("a request counts as open") {
  HandRunListener run;
  run.AwaitIdle();
  CHECK(run.listener_.open_requests() == 0);

  SECTION("from its first byte to the end of its response") {
    run.replied_ = [&run] { CHECK(run.listener_.open_requests() == 1); };
    run.SendCall("G");
    run.io_.poll();
    CHECK(run.listener_.open_requests() == 1);
    CHECK(run.listener_.active_requests() == 0);
    run.SendCall(std::string(kLastCall).substr(1));
    CHECK(Contains(run.ReceiveUntilClosed(), "HTTP/1.1 200"));
    CHECK(run.listener_.open_requests() == 0);
  }

  SECTION("until it is refused") {
    run.SendCall("GET\r\n\r\n");
    run.CloseSending();
    CHECK(Contains(run.ReceiveUntilClosed(), "HTTP/1.1 400"));
    CHECK(run.listener_.open_requests() == 0);
  }
}

TEST_CASE("a change of the limits") {
  HttpLimits limits;

  SECTION("judges the next request of a waiting connection by the new limits") {
    limits.header_bytes_ = 16;
    limits.body_bytes_ = 1;
    HandRunListener run(limits);
    run.AwaitIdle();
    run.listener_.SetLimits(HttpLimits());
    run.SendCall(
        "POST /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "Content-Length: 4\r\n\r\nbody");
    CHECK(Contains(run.ReceiveUntilClosed(), "HTTP/1.1 200"));
    CHECK(run.served_ == std::vector<std::string>{"/last"});
  }

  SECTION("shortens the wait of a waiting connection") {
    HandRunListener run(limits);
    run.AwaitIdle();
    REQUIRE(run.listener_.connections() == 1);
    limits.idle_timeout_ = Duration();
    run.listener_.SetLimits(limits);
    run.io_.poll();
    CHECK(run.listener_.connections() == 0);
  }

  SECTION("prolongs the wait of a waiting connection") {
    HandRunListener run(limits);
    // The wait begins with no time, and gets more before its timer is handled.
    run.replied_ = [&run, &limits] {
      HttpLimits without_wait = limits;
      without_wait.idle_timeout_ = Duration();
      run.listener_.SetLimits(without_wait);
      asio::post(run.io_, [&run, &limits] { run.listener_.SetLimits(limits); });
    };
    run.SendCall(kKeptCall);
    while (run.served_.empty()) {
      run.io_.run_one();
    }
    run.io_.poll();
    CHECK(run.listener_.connections() == 1);
    run.replied_ = nullptr;
    run.SendCall(kLastCall);
    CHECK(Contains(run.ReceiveUntilClosed(), "Connection: close"));
    CHECK(run.served_ == std::vector<std::string>{"/kept", "/last"});
  }
}

}  // namespace citronlane
