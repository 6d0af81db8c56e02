// A response to HEAD has no body: any byte after its head would be read as the
// start of the next response on the caller's connection. Routes that stream use
// StartStream for every method, so that it has to leave out the body.

#include <catch2/catch.hpp>

#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"
#include "support/raw_call.h"

namespace citronlane {

namespace asio = boost::asio;

TEST_CASE("a streamed response to HEAD ends with its head") {
  asio::io_context io;
  HttpListenerHooks hooks;
  hooks.serve_ = [](size_t, const HttpRequest&, HttpExchange* exchange) {
    HttpReply head;
    exchange->StartStream(head);
    exchange->EndStream();
  };
  hooks.refuse_ = [](RefusalReason) { return HttpReply(); };
  HttpListener listener({&io}, HttpLimits(), hooks);
  Error error;
  REQUIRE(listener.Listen("127.0.0.1", 0, &error));
  std::thread thread([&io] { io.run(); });
  const std::string answer =
      SendRaw(listener.port(),
              "HEAD /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const size_t end = answer.find("\r\n\r\n");
  CHECK(answer.substr(0, 12) == "HTTP/1.1 200");
  REQUIRE(end != std::string::npos);
  CHECK(answer.substr(end + 4).empty());
  listener.StopAccepting();
  io.stop();
  thread.join();
}

}  // namespace citronlane
