// Guards against a second response to one request: its caller takes it for the
// response to its next request on the connection, and that one's for the
// request after. It came about when a server refused a request whose inputs had
// been freed: its stages had to run again, failed, and the request was refused
// twice.

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/error.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"
#include "support/press_config.h"
#include "support/raw_call.h"
#include "support/recorded_caller.h"
#include "support/relay_gateway.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A stage server and an engine. The engine refuses a request once its inputs
/// were freed, and then the stage cannot make them again.
class Servers {
 public:
  explicit Servers(asio::io_context* io)
      : press_({io}, HttpLimits(), HooksOf(&Servers::Press)),
        engine_({io}, HttpLimits(), HooksOf(&Servers::Engine)) {
    Error error;
    REQUIRE(press_.Listen("127.0.0.1", 0, &error));
    REQUIRE(engine_.Listen("127.0.0.1", 0, &error));
  }

  std::vector<BackendServer> Entries() const {
    return {Entry("press", press_.port()), Entry("engine", engine_.port())};
  }

  int made_ = 0;

 private:
  using Handler = void (Servers::*)(const HttpRequest&, HttpExchange*);

  HttpListenerHooks HooksOf(Handler handler) {
    HttpListenerHooks hooks;
    hooks.serve_ = [this, handler](size_t, const HttpRequest& request,
                                   HttpExchange* exchange) {
      (this->*handler)(request, exchange);
    };
    hooks.refuse_ = [](RefusalReason) { return HttpReply(); };
    return hooks;
  }

  static BackendServer Entry(const std::string& service, uint16_t port) {
    BackendServer server;
    server.id_ = service + "-1";
    server.name_ = server.id_;
    server.service_ = service;
    server.address_ = "127.0.0.1:" + std::to_string(port);
    server.failure_domain_ = "a";
    server.slots_ = 1;
    return server;
  }

  void Press(const HttpRequest& request, HttpExchange* exchange) {
    HttpReply reply;
    if (request.target_ == "/v1/stage-free") {
      is_freed_ = true;
      if (refused_ != nullptr) {
        refused_->Notify();
      }
    } else if (made_++ == 0) {
      reply.body_ = R"({"items":[{"handle":"127.0.0.1:)" +
                    std::to_string(press_.port()) + R"(/1"}]})";
    } else {
      reply.body_ = R"({"items":[{"reason":"late"}]})";
    }
    exchange->Reply(reply);
  }

  void Engine(const HttpRequest& request, HttpExchange* exchange) {
    refused_ = exchange;
    while (!is_freed_ && !exchange->caller_gone()) {
      exchange->Wait();
    }
    refused_ = nullptr;
    HttpReply reply;
    reply.status_ = 503;
    reply.headers_ = {{"X-Citronlane-Not-Run", "1"}};
    for (const HttpHeader& header : request.headers_) {
      if (header.name_ == "X-Citronlane-Request-Id") {
        reply.headers_.push_back(header);
      }
    }
    exchange->Reply(reply);
  }

  bool is_freed_ = false;
  HttpExchange* refused_ = nullptr;
  HttpListener press_;
  HttpListener engine_;
};

}  // namespace

TEST_CASE("a request whose stages cannot run again is refused once") {
  asio::io_context io;
  Servers servers(&io);
  RelayGateway gateway(&io, PressConfig(), "engine", servers.Entries());
  const RecordedCaller caller = gateway.Ask(
      "a", {{"X-Citronlane-Pieces", "1"}, {"X-Citronlane-Piece-Key", "k"}});
  REQUIRE(caller.reply_);
  CHECK(servers.made_ == 2);
  CHECK(caller.replies_ == 1);
}

// Whatever a handler does, each response on a connection belongs to its
// request.
TEST_CASE("a connection carries one response per request") {
  std::function<void(HttpExchange*, const HttpReply&)> answer;
  bool is_answered = true;
  bool is_closed = false;
  SECTION("if a handler responds twice") {
    answer = [](HttpExchange* exchange, const HttpReply& reply) {
      exchange->Reply(reply);
      exchange->Reply(reply);
    };
  }
  SECTION("if it streams after a response") {
    answer = [](HttpExchange* exchange, const HttpReply& reply) {
      exchange->Reply(reply);
      exchange->StartStream(reply);
      exchange->Write("answer to /a");
      exchange->EndStream();
    };
  }
  SECTION("if it responds after a stream") {
    answer = [](HttpExchange* exchange, const HttpReply& reply) {
      exchange->StartStream(HttpReply());
      exchange->Write(reply.body_);
      exchange->EndStream();
      exchange->Write("answer to /a");
      exchange->EndStream();
      exchange->Reply(reply);
    };
  }
  SECTION("if it does not respond") {
    answer = [](HttpExchange*, const HttpReply&) {};
    is_answered = false;
    is_closed = true;
  }
  SECTION("if it does not end its stream") {
    answer = [](HttpExchange* exchange, const HttpReply& reply) {
      exchange->StartStream(HttpReply());
      exchange->Write(reply.body_);
    };
    is_closed = true;
  }
  asio::io_context io;
  HttpListenerHooks hooks;
  hooks.serve_ = [&](size_t, const HttpRequest& request,
                     HttpExchange* exchange) {
    HttpReply reply;
    reply.body_ = "answer to " + request.target_;
    if (request.target_ == "/a") {
      answer(exchange, reply);
    } else {
      exchange->Reply(reply);
    }
  };
  hooks.refuse_ = [](RefusalReason) { return HttpReply(); };
  HttpListener listener({&io}, HttpLimits(), hooks);
  Error error;
  REQUIRE(listener.Listen("127.0.0.1", 0, &error));
  std::thread thread([&io] { io.run(); });
  const std::string got =
      SendRaw(listener.port(),
              "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  listener.StopAccepting();
  io.stop();
  thread.join();
  const auto count = [&got](std::string_view what) {
    size_t times = 0;
    for (size_t at = got.find(what); at != std::string::npos;
         at = got.find(what, at + 1)) {
      ++times;
    }
    return times;
  };
  CHECK(count("answer to /a") == (is_answered ? 1 : 0));
  CHECK(count("HTTP/1.1 200") == count("answer to /a") + count("answer to /b"));
  CHECK(count("answer to /b") == (is_closed ? 0 : 1));
  if (is_answered && !is_closed) {
    CHECK(got.find("answer to /a") < got.find("answer to /b"));
  }
}

}  // namespace citronlane
