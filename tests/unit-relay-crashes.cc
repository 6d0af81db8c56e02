// Guards against a request that reaches a server although it is blocked or the
// server is at its limit, and against a gateway that does not report, or
// reports falsely, that a server has ended under a request.

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/net/crash_codec.h"
#include "citronlane/serving/request_fingerprint.h"
#include "citronlane/transport/http_reply.h"
#include "fleet.pb.h"
#include "support/desk_config.h"
#include "support/eventually.h"
#include "support/recorded_caller.h"
#include "support/relay_gateway.h"
#include "support/scripted_server.h"

namespace citronlane {
namespace {

using std::chrono::seconds;
using tcp = boost::asio::ip::tcp;

std::string ReplyTo(const std::string& request, const std::string& headers) {
  return "HTTP/1.1 200 OK\r\nX-Citronlane-Request-Id: " + request +
         "\r\nX-Citronlane-Response-Seal: seal\r\n" + headers +
         "Content-Length: 2\r\n\r\nok";
}

std::string StreamTo(const std::string& request) {
  return "HTTP/1.1 200 OK\r\nX-Citronlane-Request-Id: " + request +
         "\r\nX-Citronlane-Response-Seal: seal\r\nContent-Length: 15"
         "\r\n\r\nid: 0\ndata: x\n\n";
}

// With neither a length nor chunks: the reply ends with its connection.
std::string ReplyHead(const std::string& request) {
  return "HTTP/1.1 200 OK\r\nX-Citronlane-Request-Id: " + request +
         "\r\nX-Citronlane-Response-Seal: seal\r\n\r\n";
}

/// A server that ends when it has read its first request, after it has sent
/// `reply`.
class EndingServer {
 public:
  explicit EndingServer(std::string reply = "")
      : reply_(std::move(reply)),
        acceptor_(io_, tcp::endpoint(tcp::v4(), 0)),
        port_(acceptor_.local_endpoint().port()),
        thread_([this] { Serve(); }) {}
  ~EndingServer() { thread_.join(); }
  EndingServer(const EndingServer&) = delete;
  EndingServer& operator=(const EndingServer&) = delete;

  uint16_t port() const { return port_; }

 private:
  void Serve() {
    tcp::socket socket(io_);
    acceptor_.accept(socket);
    std::string text;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(text),
                            "\r\n\r\n");
    acceptor_.close();
    boost::asio::write(socket, boost::asio::buffer(reply_));
    socket.close();
  }

  const std::string reply_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  const uint16_t port_;
  std::thread thread_;
};

// The request that RelayGateway::Ask sends.
RequestFingerprint Asked() {
  return FingerprintOf("GET", "h", "/x", "", "");
}

bool HasHeader(const HttpReply& reply, const std::string& name) {
  return std::any_of(
      reply.headers_.begin(), reply.headers_.end(),
      [&name](const HttpHeader& header) { return header.name_ == name; });
}

void CheckRefused(const RecordedCaller& caller, const std::string& reason) {
  REQUIRE(caller.reply_);
  CHECK(caller.reply_->status_ == 503);
  CHECK(caller.reply_->body_.find(reason) != std::string::npos);
  CHECK(caller.reply_->body_.find("not_run") != std::string::npos);
  CHECK(HasHeader(*caller.reply_, "Retry-After"));
}

}  // namespace

TEST_CASE("a call whose connection breaks") {
  boost::asio::io_context io;
  const auto run_until = [&io](const std::function<bool()>& condition) {
    return Eventually([&] {
      io.restart();
      io.poll();
      return condition();
    });
  };

  SECTION("is reported when its server has ended") {
    EndingServer server;
    RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk",
                         DeskServer(server.port()));
    const RecordedCaller caller = gateway.Ask("a");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 502);
    REQUIRE(run_until([&] { return !gateway.reports().empty(); }));
    const auto& crash = gateway.reports()[0].crashes(0);
    CHECK(crash.server() == "s");
    REQUIRE(crash.running_size() == 1);
    CHECK(DecodeContent(crash.running(0)) == Asked());
  }
  // Guards against the end of a server that is taken for that of a reply.
  SECTION("is reported when the reply, without a length, has no event yet") {
    EndingServer server(ReplyHead("a"));
    RelayGateway gateway(&io, DeskConfig(RouteKind::kStreaming), "desk",
                         DeskServer(server.port()));
    const RecordedCaller caller = gateway.Ask("a");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 502);
    CHECK(run_until([&] { return !gateway.reports().empty(); }));
  }
  SECTION("is not reported when a reply without a length has events") {
    EndingServer server(ReplyHead("a") + "id: 0\ndata: x\n\n");
    RelayGateway gateway(&io, DeskConfig(RouteKind::kStreaming), "desk",
                         DeskServer(server.port()));
    const RecordedCaller caller = gateway.Ask("a");
    CHECK(caller.is_complete_);
    io.restart();
    io.run();
    CHECK(gateway.reports().empty());
  }
  SECTION("breaks off a stream without a length that ends inside an event") {
    EndingServer server(ReplyHead("a") + "id: 0\ndata: x\n\nid: 1\nda");
    RelayGateway gateway(&io, DeskConfig(RouteKind::kStreaming), "desk",
                         DeskServer(server.port()));
    const RecordedCaller caller = gateway.Ask("a");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->body_ == "id: 0\ndata: x\n\n");
    CHECK_FALSE(caller.is_complete_);
  }
  SECTION("is not reported when its server still listens") {
    ScriptedServer server({""});
    RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk",
                         DeskServer(server.port()));
    gateway.Ask("a");
    // The call's connection and all probes.
    REQUIRE(run_until([&] { return server.connections() == 4; }));
    REQUIRE(run_until([&] { return io.stopped(); }));
    CHECK(gateway.reports().empty());
  }
  SECTION("is not reported when its server leaves") {
    EndingServer server;
    RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk",
                         DeskServer(server.port()));
    // Runs once the call has started.
    boost::asio::post(io, [&gateway] { gateway.view()->SetDrained({"a"}); });
    const RecordedCaller caller = gateway.Ask("a");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 502);
    io.restart();
    io.run();
    CHECK(gateway.reports().empty());
  }
}

TEST_CASE("a blocked request reaches no server") {
  boost::asio::io_context io;
  ScriptedServer server({ReplyTo("b", "")});
  RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk",
                       DeskServer(server.port()));
  const TimePoint now = SteadyNow();
  wire::fleet::SuspectRequests suspects;
  SuspectRequest suspect;
  suspect.feature_ = ContentFeature(Asked());
  suspect.crashes_ = 3;
  suspect.last_crash_ = now;
  suspect.blocked_until_ = now + seconds(60);

  SECTION("while it is blocked") {
    EncodeSuspects({&suspect, 1}, now, &suspects);
    gateway.crashes()->Take(suspects);
    CheckRefused(gateway.Ask("a"), "crashes_servers");
    CHECK(server.reads() == 0);
  }
  SECTION("and gets to one afterwards, whose survival is reported") {
    suspect.blocked_until_ = now;
    EncodeSuspects({&suspect, 1}, now, &suspects);
    gateway.crashes()->Take(suspects);
    const RecordedCaller caller = gateway.Ask("b");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 200);
    REQUIRE(gateway.reports().size() == 1);
    CHECK(DecodeContent(gateway.reports()[0].survivals(0).request()) ==
          Asked());
  }
}

// Guards against a reply that a faulty server sends without running the request
// being taken for a survival.
TEST_CASE("a reply of 500 shows no survival") {
  boost::asio::io_context io;
  ScriptedServer server({"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"});
  RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk",
                       DeskServer(server.port()));
  const TimePoint now = SteadyNow();
  SuspectRequest suspect;
  suspect.feature_ = ContentFeature(Asked());
  suspect.crashes_ = 2;
  suspect.last_crash_ = now;
  wire::fleet::SuspectRequests suspects;
  EncodeSuspects({&suspect, 1}, now, &suspects);
  gateway.crashes()->Take(suspects);
  const RecordedCaller caller = gateway.Ask("a");
  REQUIRE(caller.reply_);
  CHECK(caller.reply_->status_ == 500);
  CHECK(gateway.reports().empty());
}

// Guards against a suspended request that several gateways send at once, or
// that is refused without need.
TEST_CASE("a request whose content is suspended") {
  boost::asio::io_context io;
  ScriptedServer server({ReplyTo("a", "")});
  RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk",
                       DeskServer(server.port()));
  const auto list = [&gateway](bool is_suspended,
                               const std::string& trial_gateway) {
    const TimePoint now = SteadyNow();
    SuspectRequest suspect;
    suspect.feature_ = ContentFeature(Asked());
    suspect.last_crash_ = now;
    suspect.needs_trial_ = is_suspended;
    suspect.trial_gateway_ = trial_gateway;
    suspect.trial_ = 1;
    wire::fleet::SuspectRequests suspects;
    EncodeSuspects({&suspect, 1}, now, &suspects);
    gateway.crashes()->Take(suspects);
  };
  list(true, "other");

  SECTION("is refused when no trial has ended in its time") {
    CheckRefused(gateway.Ask("a"), "crashes_servers");
    CHECK(server.reads() == 0);
    REQUIRE_FALSE(gateway.reports().empty());
    CHECK(DecodeTrial(gateway.reports()[0]) == ContentFeature(Asked()));
  }
  SECTION("is sent when the suspension ends meanwhile") {
    boost::asio::post(io, [&list] { list(false, ""); });
    const RecordedCaller caller = gateway.Ask("a");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 200);
  }
  SECTION("is sent later if the server refused the trial without running it") {
    ScriptedServer full(
        {"HTTP/1.1 503 Full\r\nX-Citronlane-Request-Id: a\r\n"
         "X-Citronlane-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
         ReplyTo("b", "")});
    gateway.view()->SetServers(DeskServer(full.port()), SteadyNow());
    list(true, gateway.crashes()->gateway());
    const RecordedCaller refused = gateway.Ask("a");
    REQUIRE(refused.reply_);
    CHECK(refused.reply_->status_ == 503);
    const RecordedCaller caller = gateway.Ask("b");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 200);
  }
  SECTION("is sent as the trial that the leader has granted") {
    list(true, gateway.crashes()->gateway());
    const RecordedCaller caller = gateway.Ask("a");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 200);
    CHECK(gateway.reports()[0].survivals_size() == 1);
  }
}

// Guards against requests that share only a prompt segment that crashes servers
// and are sent to one after the other.
TEST_CASE("requests with a suspect segment") {
  boost::asio::io_context io;
  ScriptedServer server({StreamTo("a")});
  RelayGateway gateway(&io, DeskConfig(RouteKind::kStreaming), "desk",
                       DeskServer(server.port()));
  const TimePoint now = SteadyNow();
  SuspectRequest suspect;
  suspect.feature_ = SegmentFeature("bad");
  suspect.crashes_ = 4;
  suspect.last_crash_ = now - seconds(1);
  const auto list = [&] {
    wire::fleet::SuspectRequests suspects;
    EncodeSuspects({&suspect, 1}, now, &suspects);
    gateway.crashes()->Take(suspects);
  };
  const auto ask = [&](const std::string& prompt) {
    return gateway.Ask("a", {{"X-Citronlane-Prompt-Prefix", prompt}});
  };

  SECTION("reach no server while it is blocked") {
    suspect.blocked_until_ = now + seconds(60);
    list();
    CheckRefused(ask("first:60,bad:20,own:10"), "crashes_servers");
    CHECK(server.reads() == 0);
  }
  SECTION("get to one if the segment is their last, which is their own") {
    suspect.blocked_until_ = now + seconds(60);
    list();
    CHECK(ask("first:60,bad:20").is_complete_);
    CHECK(gateway.reports().empty());
  }
  SECTION("show that a server survives it when their replies have begun") {
    list();
    CHECK(ask("first:60,bad:20,own:10").is_complete_);
    REQUIRE(gateway.reports().size() == 1);
    REQUIRE(gateway.reports()[0].survivals_size() == 1);
    CHECK(gateway.reports()[0].survivals(0).segment() == "bad");
  }
  SECTION("are reported with it when their server ends before that") {
    EndingServer ending;
    RelayGateway other(&io, DeskConfig(RouteKind::kStreaming), "desk",
                       DeskServer(ending.port()));
    other.Ask("a",
              {{"X-Citronlane-Prompt-Prefix", "first:60,bad:20,bad:2,own:1"}});
    REQUIRE(Eventually([&] {
      io.restart();
      io.poll();
      return !other.reports().empty();
    }));
    const auto& request = other.reports()[0].crashes(0).running(0);
    REQUIRE(request.segments_size() == 2);
    CHECK(request.segments(0) == "first");
    CHECK(request.segments(1) == "bad");
  }
}

// Guards against a reply that shows nothing and clears a suspect.
TEST_CASE("a reply that is read whole") {
  boost::asio::io_context io;
  const auto survivals_after = [&io](const std::string& reply) {
    EndingServer server(reply);
    RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk",
                         DeskServer(server.port()));
    const TimePoint now = SteadyNow();
    std::vector<SuspectRequest> listed(2);
    listed[0].feature_ = ContentFeature(Asked());
    listed[1].feature_ = SegmentFeature("bad");
    wire::fleet::SuspectRequests suspects;
    EncodeSuspects(listed, now, &suspects);
    gateway.crashes()->Take(suspects);
    gateway.Ask("a", {{"X-Citronlane-Prompt-Prefix", "bad:20,own:10"}});
    size_t survivals = 0;
    for (const auto& report : gateway.reports()) {
      survivals += static_cast<size_t>(report.survivals_size());
    }
    return survivals;
  };
  SECTION("with a length clears the content and the segments") {
    CHECK(survivals_after(ReplyTo("a", "")) == 2);
  }
  SECTION("that ends with its connection clears nothing") {
    CHECK(survivals_after(ReplyHead("a")) == 0);
    CHECK(survivals_after(ReplyHead("a") + "ok") == 0);
  }
  SECTION("of a failure clears the content only") {
    std::string reply = ReplyTo("a", "");
    reply.replace(reply.find("200"), 3, "404");
    CHECK(survivals_after(reply) == 1);
  }
}

TEST_CASE("a server at its limit gets no request") {
  boost::asio::io_context io;
  ScriptedServer server({ReplyTo("a", "Server-Limit: 0.1\r\n")});
  RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk",
                       DeskServer(server.port()));
  const RecordedCaller first = gateway.Ask("a");
  REQUIRE(first.reply_);
  CHECK(first.reply_->status_ == 200);
  CheckRefused(gateway.Ask("b"), "server_limits");
  CHECK(server.reads() == 1);
}

// Guards against a limit whose end is noticed late because the router prefers
// servers without one.
TEST_CASE("a plain server with a limit is asked now and then") {
  boost::asio::io_context io;
  // The other replies faster than is assumed of a server that was never called.
  ScriptedServer limited({ReplyTo("limited", ""), ReplyTo("limited", "")});
  std::vector<std::string> replies(20, ReplyTo("other", ""));
  ScriptedServer other(replies);
  std::vector<BackendServer> servers = DeskServer(other.port());
  servers[0].id_ = servers[0].name_ = "a-other";
  RelayGateway gateway(&io, DeskConfig(RouteKind::kSafe), "desk", servers);
  for (int i = 0; i < 5; ++i) {
    REQUIRE(gateway.Ask("other").reply_);
  }
  CHECK(other.reads() == 5);
  servers.push_back(DeskServer(limited.port())[0]);
  servers[1].id_ = servers[1].name_ = "limited";
  servers[1].failure_domain_ = "b";
  gateway.view()->SetServers(servers, SteadyNow());
  gateway.limits()->Take({"limited", 100, SteadyNow() - seconds(60)},
                         "control");
  const RecordedCaller asked = gateway.Ask("limited");
  REQUIRE(asked.reply_);
  CHECK(asked.reply_->status_ == 200);
  CHECK(limited.reads() == 1);
}

}  // namespace citronlane
