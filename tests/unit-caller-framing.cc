// A reply to HEAD has no body: what a gateway sends behind its head would be
// read as the start of the next reply on the caller's connection. A route that
// streams answers through StartStream, whatever the method.

#include <catch2/catch.hpp>

#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// All that comes back for the bytes, until the close.
std::string Send(uint16_t port, const std::string& text) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), port});
  boost::system::error_code error;
  asio::write(socket, asio::buffer(text), error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

}  // namespace

TEST_CASE("a streamed reply to HEAD ends with its head") {
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
      Send(listener.port(),
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
