// Guards against a backend server that says in its replies that it leaves and
// gets requests on, because the server list does not say so.

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/peer_headers.h"
#include "platform/headers.h"
#include "support/desk_config.h"
#include "support/recorded_caller.h"
#include "support/relay_gateway.h"
#include "support/scripted_server.h"

namespace citronlane {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::string ReplyTo(const std::string& request, const std::string& headers) {
  return "HTTP/1.1 200 OK\r\nX-Citronlane-Request-Id: " + request +
         "\r\nX-Citronlane-Response-Seal: seal\r\n" + headers +
         "Content-Length: 2\r\n\r\nok";
}

BackendServer Server(const std::string& name, int64_t started_ms) {
  BackendServer server;
  server.name_ = name;
  server.id_ = name + "#" + std::to_string(started_ms);
  server.started_ms_ = started_ms;
  server.service_ = "desk";
  return server;
}

bool IsLeaving(const FleetView& view, const std::string& id) {
  const BackendServer* server = view.FindServer(id);
  return server != nullptr && server->leaving_;
}

}  // namespace

TEST_CASE("a server that was marked as leaving") {
  FleetView view;
  view.SetServers({Server("s", 1), Server("t", 1)}, kStart);
  const uint64_t number = view.servers_number();
  view.SetLeaving("s#1");
  CHECK(IsLeaving(view, "s#1"));
  CHECK_FALSE(IsLeaving(view, "t#1"));
  CHECK(view.servers_number() == number + 1);

  SECTION("changes nothing when it is marked again") {
    view.SetLeaving("s#1");
    CHECK(view.servers_number() == number + 1);
  }
  SECTION("stays so, whatever later lists say") {
    BackendServer draining = Server("s", 1);
    draining.leaving_ = true;
    view.SetServers({draining}, kStart + seconds(1));
    view.SetServers({}, kStart + seconds(2));
    view.SetServers({Server("s", 1)}, kStart + seconds(3));
    CHECK(IsLeaving(view, "s#1"));
  }
  SECTION("is another one after it has started again") {
    view.SetServers({Server("s", 2)}, kStart + seconds(1));
    CHECK_FALSE(IsLeaving(view, "s#2"));
  }
  SECTION("may be marked before it is listed") {
    view.SetLeaving("u#1");
    view.SetServers({Server("u", 1)}, kStart + seconds(1));
    CHECK(IsLeaving(view, "u#1"));
  }
}

TEST_CASE("a reply of a server that leaves") {
  const auto is_leaving = [](const std::string& value) {
    return platform::ReadReply(
               200, std::vector<HttpHeader>{{"Server-Leaving", value}})
        .leaving_;
  };
  CHECK(is_leaving("1"));
  CHECK(is_leaving(" 1 "));
  CHECK_FALSE(is_leaving("0"));
  CHECK_FALSE(is_leaving(""));

  boost::asio::io_context io;
  ScriptedServer server({ReplyTo("a", "Server-Leaving: 1\r\n")});
  RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk",
                       DeskServer(server.port()));

  SECTION("is the last one that a gateway gets from it") {
    const RecordedCaller first = gateway.Ask("a");
    REQUIRE(first.reply_);
    CHECK(first.reply_->status_ == 200);
    HttpReply reply = *first.reply_;
    CHECK(TakeLeavingServer(&reply).empty());
    io.restart();
    io.run();
    const RecordedCaller second = gateway.Ask("b");
    REQUIRE(second.reply_);
    CHECK(second.reply_->status_ == 503);
    CHECK(server.reads() == 1);
  }
  SECTION("tells the gateway that forwarded the request which one it is") {
    const RecordedCaller caller = gateway.AskForwarded(
        "a",
        {std::chrono::milliseconds(1), DeskConfig(RouteKind::kSafe).version_});
    REQUIRE(caller.reply_);
    HttpReply reply = *caller.reply_;
    CHECK(TakeLeavingServer(&reply) == "s");
    CHECK(TakeLeavingServer(&reply).empty());
  }
}

TEST_CASE("a reply that another gateway passes on") {
  boost::asio::io_context io;
  ScriptedServer other({ReplyTo("a", "Gateway-Peer-Leaving: s\r\n")});
  constexpr uint16_t kClosedPort = 2;
  RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk",
                       DeskServer(kClosedPort));
  const std::string address = "127.0.0.1:" + std::to_string(other.port());
  gateway.view()->SetGateways({{address + "0", "a", false, false, address}});
  gateway.CutOff();
  const RecordedCaller caller = gateway.Ask("a");
  REQUIRE(caller.reply_);
  CHECK(caller.reply_->status_ == 200);
  HttpReply reply = *caller.reply_;
  CHECK(TakeLeavingServer(&reply).empty());
  io.restart();
  io.run();
  CHECK(IsLeaving(*gateway.view(), "s"));
}

}  // namespace citronlane
