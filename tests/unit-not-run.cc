// "Not run" promises that no piece of a request was handed to a server. Guards
// against a request that is refused with that promise while one of its stages
// is still at a pool or its owner.

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "citronlane/base/error.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/relay_service.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"
#include "support/press_config.h"
#include "support/recorded_caller.h"
#include "support/relay_gateway.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tcp = asio::ip::tcp;

const std::vector<HttpHeader> one_piece = {{"X-Citronlane-Pieces", "1"},
                                           {"X-Citronlane-Piece-Key", "k"}};

BackendServer Press(uint16_t port) {
  BackendServer server;
  server.id_ = "press-1";
  server.name_ = server.id_;
  server.service_ = "press";
  server.address_ = "127.0.0.1:" + std::to_string(port);
  server.failure_domain_ = "a";
  server.slots_ = 1;
  return server;
}

void CheckMayHaveRun(const RecordedCaller& caller) {
  REQUIRE(caller.reply_);
  CHECK(caller.reply_->status_ != 503);
  CHECK(caller.reply_->body_.find("may_have_run") != std::string::npos);
}

}  // namespace

TEST_CASE("a request whose stage is at a server may have run") {
  asio::io_context io;
  RelayGateway* gateway = nullptr;
  HttpListenerHooks hooks;
  hooks.serve_ = [&](size_t, const HttpRequest&, HttpExchange* exchange) {
    // The gateway shuts down while the server works.
    asio::post(io, [&gateway] { gateway->service()->GiveUpAll(); });
    while (!exchange->caller_gone()) {
      exchange->Wait();
    }
  };
  hooks.refuse_ = [](RefusalReason) { return HttpReply(); };
  HttpListener press({&io}, HttpLimits(), hooks);
  Error error;
  REQUIRE(press.Listen("127.0.0.1", 0, &error));
  RelayGateway relay(&io, PressConfig(), "engine", {Press(press.port())});
  gateway = &relay;
  CheckMayHaveRun(relay.Ask("a", one_piece));
}

TEST_CASE("a request whose stage was sent to its owner may have run") {
  asio::io_context io;
  tcp::acceptor acceptor(io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  tcp::socket owner(io);
  std::array<char, 4096> bytes;
  size_t received = 0;
  acceptor.async_accept(owner, [&](const boost::system::error_code& error) {
    REQUIRE_FALSE(error);
    owner.async_read_some(
        asio::buffer(bytes),
        [&](const boost::system::error_code&, size_t got) { received += got; });
  });
  RelayGateway relay(&io, PressConfig(), "engine", {});
  relay.view()->SetOwners(
      1, {{"press",
           "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())}});
  CheckMayHaveRun(relay.Ask("a", one_piece, milliseconds(400)));
  CHECK(received > 0);
}

TEST_CASE("a request whose stage waits for a server has not run") {
  asio::io_context io;
  RelayGateway relay(&io, PressConfig(), "engine", {});
  const RecordedCaller caller = relay.Ask("a", one_piece, milliseconds(400));
  REQUIRE(caller.reply_);
  CHECK(caller.reply_->status_ == 503);
  CHECK(caller.reply_->body_.find("not_run") != std::string::npos);
}

}  // namespace citronlane
