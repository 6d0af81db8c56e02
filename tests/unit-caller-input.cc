// Input of callers that never ends or that takes more than its place: what a
// listener keeps of it, and who loses a place. The event loop is run by hand.

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::string_view kChunked =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view kCall = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A listener whose event loop the test runs.
class Listener {
 public:
  explicit Listener(const HttpLimits& limits)
      : listener_({&io_}, limits, Hooks()) {
    Error error;
    REQUIRE(listener_.Listen("127.0.0.1", 0, &error));
  }

  std::unique_ptr<tcp::socket> Connect() {
    auto socket = std::make_unique<tcp::socket>(caller_io_);
    socket->connect({asio::ip::make_address("127.0.0.1"), listener_.port()});
    socket->non_blocking(true);
    return socket;
  }

  /// Runs the event loop until the condition holds.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) {
      io_.run_one();
    }
  }

  /// Sends `text` again and again until the listener has refused the request.
  /// Returns the bytes sent.
  size_t SendUntilRefused(tcp::socket* caller, std::string_view text) {
    size_t sent = 0;
    boost::system::error_code error;
    while (refused_.empty()) {
      sent += caller->write_some(asio::buffer(text.data(), text.size()), error);
      io_.poll();
    }
    return sent;
  }

  size_t connections() const { return listener_.connections(); }

  asio::io_context io_;
  std::vector<RefusalReason> refused_;
  std::vector<std::string> lost_;
  std::vector<HttpRequest> served_;
  /// Suspends the handlers while it is set.
  bool holds_ = false;

 private:
  HttpListenerHooks Hooks() {
    HttpListenerHooks hooks;
    hooks.serve_ = [this](size_t, const HttpRequest& request,
                          HttpExchange* exchange) {
      served_.push_back(request);
      if (holds_) {
        exchange->Wait();
      }
      exchange->Reply({});
    };
    hooks.refuse_ = [this](RefusalReason reason) {
      refused_.push_back(reason);
      HttpReply reply;
      reply.status_ = HttpStatus(reason);
      return reply;
    };
    hooks.place_lost_ = [this](std::string_view phase, Duration) {
      lost_.emplace_back(phase);
    };
    return hooks;
  }

  asio::io_context caller_io_;
  HttpListener listener_;
};

void Send(tcp::socket* caller, std::string_view text) {
  asio::write(*caller, asio::buffer(text.data(), text.size()));
}

std::string HeldRequest(size_t body_bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
}

}  // namespace

TEST_CASE("input without an end is refused once it exceeds the header limit") {
  Listener listener{HttpLimits()};
  const auto caller = listener.Connect();
  const std::string block(4096, 'a');
  const auto check = [&](std::string_view begin, std::string_view repeated,
                         RefusalReason reason) {
    // Not much more than a header and what sockets hold.
    constexpr size_t kMaxSent = size_t{8} << 20;
    Send(caller.get(), begin);
    CHECK(listener.SendUntilRefused(caller.get(), repeated) < kMaxSent);
    CHECK(listener.refused_ == std::vector<RefusalReason>{reason});
    CHECK(listener.served_.empty());
  };

  SECTION("a request line") {
    check("GET /", block, RefusalReason::kHeaderTooLarge);
  }
  SECTION("a header") {
    check("GET / HTTP/1.1\r\nX: ", block, RefusalReason::kHeaderTooLarge);
  }
  SECTION("a chunk extension") {
    check(std::string(kChunked) + "5;x=", block,
          RefusalReason::kMalformedRequest);
  }
  SECTION("a trailer field") {
    check(std::string(kChunked) + "0\r\nX: ", block,
          RefusalReason::kMalformedRequest);
  }
  SECTION("trailer fields") {
    check(std::string(kChunked) + "0\r\n", "X: y\r\n",
          RefusalReason::kMalformedRequest);
  }
}

TEST_CASE("fields of a trailer are no fields of the request") {
  Listener listener{HttpLimits()};
  const auto caller = listener.Connect();
  Send(caller.get(),
       std::string(kChunked) + "2\r\nhi\r\n0\r\nX-Late: y\r\n\r\n");
  listener.RunUntil([&] { return !listener.served_.empty(); });
  CHECK(listener.served_.front().body_ == "hi");
  CHECK(listener.served_.front().CountHeader("X-Late") == 0);
}

TEST_CASE("a request that is served keeps its memory") {
  HttpLimits limits;
  limits.body_bytes_ = 4 << 20;
  limits.memory_bytes_ = 0;
  Listener listener(limits);
  listener.holds_ = true;
  const auto first = listener.Connect();
  const auto second = listener.Connect();
  const auto send_first = [&] {
    const std::string text = HeldRequest(limits.body_bytes_);
    size_t sent = 0;
    boost::system::error_code error;
    while (sent < text.size()) {
      sent += first->write_some(asio::buffer(text) + sent, error);
      listener.io_.poll();
    }
    listener.RunUntil([&] { return !listener.served_.empty(); });
  };

  SECTION("a body of the maximum size is accepted, a second one is refused") {
    send_first();
    CHECK(listener.served_.front().body_.size() == limits.body_bytes_);
    Send(second.get(),
         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n");
    listener.RunUntil([&] { return !listener.refused_.empty(); });
    CHECK(listener.refused_ ==
          std::vector<RefusalReason>{RefusalReason::kBodyMemoryExhausted});
    CHECK(listener.lost_.empty());
  }
  SECTION("its memory is given back when it has ended") {
    send_first();
    first->close();
    listener.RunUntil([&] { return listener.connections() == 1; });
    Send(second.get(), HeldRequest(1000));
    listener.RunUntil([&] { return listener.served_.size() == 2; });
    const auto third = listener.Connect();
    Send(third.get(),
         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n"
         "Expect: 100-continue\r\n\r\n");
    // The interim response shows that the body is reserved.
    listener.RunUntil([&] { return third->available() > 0; });
    CHECK(listener.refused_.empty());
  }
  SECTION("a small request is accepted beside it") {
    send_first();
    Send(second.get(), kCall);
    listener.RunUntil([&] { return listener.served_.size() == 2; });
    CHECK(listener.refused_.empty());
  }
}

TEST_CASE("a connection over the limit") {
  HttpLimits limits;
  limits.connections_ = 1;
  limits.refused_connections_ = 1;
  Listener listener(limits);

  SECTION("is refused while the others are served") {
    listener.holds_ = true;
    const auto first = listener.Connect();
    Send(first.get(), kCall);
    listener.RunUntil([&] { return !listener.served_.empty(); });
    const auto second = listener.Connect();
    listener.RunUntil([&] { return !listener.refused_.empty(); });
    CHECK(listener.refused_ ==
          std::vector<RefusalReason>{RefusalReason::kTooManyConnections});
    CHECK(listener.lost_.empty());
  }
  SECTION("takes the place of a refused one to be refused itself") {
    listener.holds_ = true;
    const auto first = listener.Connect();
    Send(first.get(), kCall);
    listener.RunUntil([&] { return !listener.served_.empty(); });
    const auto second = listener.Connect();
    listener.RunUntil([&] { return listener.refused_.size() == 1; });
    const auto third = listener.Connect();
    listener.RunUntil([&] { return listener.refused_.size() == 2; });
    CHECK(listener.lost_ == std::vector<std::string>{"closing"});
    CHECK(listener.served_.size() == 1);
  }
  SECTION("takes the place of one that was refused") {
    listener.holds_ = true;
    const auto first = listener.Connect();
    Send(first.get(), "nonsense\r\n\r\n");
    listener.RunUntil([&] { return !listener.refused_.empty(); });
    const auto second = listener.Connect();
    Send(second.get(), kCall);
    listener.RunUntil([&] { return !listener.served_.empty(); });
    CHECK(listener.lost_ == std::vector<std::string>{"closing"});
  }
}

}  // namespace citronlane
