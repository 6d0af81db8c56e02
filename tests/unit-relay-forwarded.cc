// Guards against a gateway that reaches no server and refuses its callers
// although others could serve them, and against requests that run twice or get
// a false verdict on the way over a second gateway.

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "support/desk_config.h"
#include "support/recorded_caller.h"
#include "support/relay_gateway.h"
#include "support/scripted_server.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kVersion = 5;
/// Nothing listens there.
constexpr uint16_t kClosedPort = 2;

std::string Answer(int status, const std::string& headers) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nX-Citronlane-Request-Id: a\r\n" +
         "X-Citronlane-Response-Seal: seal\r\n" + headers +
         "Content-Length: 2\r\n\r\nok";
}

/// A gateway that reaches no server, and other gateways at these ports.
class CutOffGateway {
 public:
  explicit CutOffGateway(const std::vector<uint16_t>& others)
      : gateway_(&io_,
                 DeskConfig(RouteKind::kUnsafe, kVersion),
                 "desk",
                 DeskServer(kClosedPort)) {
    std::vector<FleetView::Gateway> gateways;
    for (const uint16_t port : others) {
      const std::string address = "127.0.0.1:" + std::to_string(port);
      gateways.push_back({address + "0", "a", false, false, address});
    }
    gateway_.view()->SetGateways(std::move(gateways));
    gateway_.CutOff();
  }

  RecordedCaller Ask() { return gateway_.Ask("a"); }

 private:
  boost::asio::io_context io_;
  RelayGateway gateway_;
};

std::string RefusalOfPeer() {
  return Answer(503, "Gateway-Peer-Refusal: 1\r\n");
}

}  // namespace

TEST_CASE("a gateway that reaches no server forwards requests") {
  SECTION("and passes the reply on") {
    ScriptedServer other({Answer(200, "X-Own: 1\r\n")});
    const RecordedCaller caller = CutOffGateway({other.port()}).Ask();
    REQUIRE(caller.reply_);
    CHECK(caller.replies_ == 1);
    CHECK(caller.reply_->status_ == 200);
    CHECK(caller.reply_->body_ == "ok");
    CHECK(other.reads() == 1);
  }

  SECTION("to the next gateway when one refuses or is gone") {
    ScriptedServer refusing({RefusalOfPeer()});
    ScriptedServer serving({Answer(200, "")});
    const RecordedCaller caller =
        CutOffGateway({kClosedPort, refusing.port(), serving.port()}).Ask();
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 200);
    CHECK(refusing.reads() == 1);
    CHECK(serving.reads() == 1);
  }

  SECTION("to one gateway only once it may have run") {
    ScriptedServer closing({""});
    ScriptedServer serving({Answer(200, "")});
    const RecordedCaller caller =
        CutOffGateway({closing.port(), serving.port()}).Ask();
    REQUIRE(caller.reply_);
    CHECK(caller.replies_ == 1);
    CHECK(caller.reply_->status_ == 502);
    CHECK(serving.reads() == 0);
  }

  SECTION("and refuses them when no gateway takes them") {
    ScriptedServer refusing({RefusalOfPeer()});
    const RecordedCaller caller = CutOffGateway({refusing.port()}).Ask();
    REQUIRE(caller.reply_);
    CHECK(caller.replies_ == 1);
    CHECK(caller.reply_->status_ == 503);
    CHECK(refusing.reads() == 1);
  }
}

TEST_CASE("a forwarded request") {
  boost::asio::io_context io;
  ScriptedServer server({Answer(200, "")});
  RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe, kVersion), "desk",
                       DeskServer(server.port()));

  SECTION("is served like a caller's own") {
    const RecordedCaller caller = gateway.AskForwarded("a", {{}, kVersion});
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 200);
  }

  SECTION("is not taken by a gateway with an older configuration") {
    const RecordedCaller caller = gateway.AskForwarded("a", {{}, kVersion + 1});
    REQUIRE(caller.reply_);
    CHECK(IsPeerRefusal(caller.reply_->headers_));
    CHECK(server.reads() == 0);
  }

  SECTION("is not taken by a gateway that is cut off itself") {
    gateway.CutOff();
    const RecordedCaller caller = gateway.AskForwarded("a", {{}, kVersion});
    REQUIRE(caller.reply_);
    CHECK(IsPeerRefusal(caller.reply_->headers_));
    CHECK(server.reads() == 0);
  }

  SECTION("has only what is left of its time") {
    const RecordedCaller caller =
        gateway.AskForwarded("a", {milliseconds(4100), kVersion});
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 504);
    CHECK(server.reads() == 0);
  }
}

}  // namespace citronlane
