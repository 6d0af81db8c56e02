// A request that was read completely and whose connection closes without a
// whole response is reported with the reason: otherwise neither its caller nor
// an operator could tell what became of it.

#include <catch2/catch.hpp>

#include <functional>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"
#include "support/raw_call.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using Handler = std::function<void(HttpExchange*)>;

constexpr auto kCall =
    "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// A listener with one handler, which records the reports.
class Reports {
 public:
  explicit Reports(Handler handler)
      : listener_({&io_}, HttpLimits(), Hooks(std::move(handler))) {
    Error error;
    REQUIRE(listener_.Listen("127.0.0.1", 0, &error));
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Reports() {
    if (thread_.joinable()) {
      Stop();
    }
  }
  Reports(const Reports&) = delete;
  Reports& operator=(const Reports&) = delete;

  uint16_t port() const { return listener_.port(); }

  /// Ends the listener once its connections are closed. Returns the reports.
  std::vector<std::string> Stop() {
    listener_.StopAccepting();
    thread_.join();
    return reasons_;
  }

 private:
  HttpListenerHooks Hooks(Handler handler) {
    HttpListenerHooks hooks;
    hooks.serve_ = [handler = std::move(handler)](size_t, const HttpRequest&,
                                                  HttpExchange* exchange) {
      handler(exchange);
    };
    hooks.refuse_ = [](RefusalReason) { return HttpReply(); };
    hooks.unanswered_ = [this](const HttpRequest& request,
                               std::string_view reason) {
      reasons_.push_back(request.target_ + " " + std::string(reason));
    };
    return hooks;
  }

  asio::io_context io_;
  std::vector<std::string> reasons_;
  HttpListener listener_;
  std::thread thread_;
};

}  // namespace

TEST_CASE("requests without a whole response are reported") {
  SECTION("not when the response is complete") {
    Reports reports([](HttpExchange* exchange) { exchange->Reply({}); });
    SendRaw(reports.port(), kCall);
    CHECK(reports.Stop().empty());
  }

  SECTION("when the handler returns without one") {
    Reports reports([](HttpExchange*) {});
    CHECK(SendRaw(reports.port(), kCall).empty());
    CHECK(reports.Stop() == std::vector<std::string>{"/x no_response"});
  }

  SECTION("when a stream breaks off") {
    Reports reports([](HttpExchange* exchange) {
      exchange->StartStream({});
      exchange->Abort();
    });
    SendRaw(reports.port(), kCall);
    CHECK(reports.Stop() == std::vector<std::string>{"/x broken_off"});
  }

  SECTION("when the caller has left") {
    std::promise<void> is_served;
    Reports reports([&is_served](HttpExchange* exchange) {
      is_served.set_value();
      while (!exchange->caller_gone()) {
        exchange->Wait();
      }
    });
    {
      asio::io_context io;
      asio::ip::tcp::socket socket(io);
      socket.connect({asio::ip::make_address("127.0.0.1"), reports.port()});
      asio::write(socket, asio::buffer(std::string(kCall)));
      is_served.get_future().wait();
    }
    CHECK(reports.Stop() == std::vector<std::string>{"/x caller_gone"});
  }
}

}  // namespace citronlane
