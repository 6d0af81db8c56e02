// Guards against giving a request the reply to another call. It comes about
// when a server replies to a call twice: the second reply is then read where
// the reply to the next call on the connection is expected. A gateway that
// skips such a reply only if it names another request returns one that names
// none, or one that is incomplete so that the next head runs into it, to the
// wrong caller; if its status means "not run", that caller is told an untruth.
// Replies to stage calls name no request at all, so that the results of a
// second reply would go to the requests of the next call.

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/limit_watch.h"
#include "citronlane/relay/reach_watch.h"
#include "citronlane/relay/stage_pool.h"
#include "citronlane/routing/repeat_budget.h"
#include "citronlane/routing/server_limits.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/serving/serving_config.h"
#include "citronlane/stages/stage_outcome.h"
#include "citronlane/stages/stage_reply_check.h"
#include "citronlane/stages/stage_task.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_limits.h"
#include "fleet.pb.h"
#include "platform/dialect.h"
#include "support/no_probes.h"
#include "support/press_config.h"
#include "support/recorded_caller.h"
#include "support/relay_gateway.h"
#include "support/scripted_server.h"
#include "support/threaded_listener.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kId[] = "X-Citronlane-Request-Id: ";
constexpr char kRefusal[] =
    "HTTP/1.1 503 No\r\nX-Citronlane-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr char kSeal[] = "X-Citronlane-Response-Seal: ";

std::string Reply(const std::string& headers, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A server-sent event, so that it can be used for streams, too.
std::string Answer(const std::string& request) {
  return "data: answer to " + request + "\n\n";
}

std::string ReplyTo(const std::string& request) {
  return Reply(kId + request + "\r\n" + kSeal + "seal-of-" + request + "\r\n",
               Answer(request));
}

ServingConfig::Parts PartsOf(RouteKind kind) {
  ServingConfig::Parts parts;
  parts.version_ = 1;
  Service service;
  service.name_ = "desk";
  service.max_connections_ = 10;
  parts.services_.push_back(service);
  Route route;
  route.name_ = "lookup";
  route.host_ = "h";
  route.prefix_ = "/";
  route.kind_ = kind;
  route.timeout_ = seconds(5);
  route.target_latency_ = seconds(1);
  route.max_attempts_ = 2;
  route.is_public_ = true;
  route.split_ = {{"desk", 1}};
  parts.routes_.push_back(std::make_shared<const Route>(route));
  return parts;
}

std::vector<BackendServer> OneServer(const std::string& service,
                                     uint16_t port) {
  BackendServer server;
  server.id_ = "s";
  server.name_ = "s";
  server.service_ = service;
  server.address_ = "127.0.0.1:" + std::to_string(port);
  server.failure_domain_ = "a";
  server.slots_ = 1;
  return {server};
}

/// A gateway with one route to one scripted server. Two server entries with the
/// same address share its connections.
class Gateway {
 public:
  explicit Gateway(uint16_t port, RouteKind kind = RouteKind::kSafe)
      : gateway_(&io_, PartsOf(kind), "desk", TwoEntries(port)) {}

  RecordedCaller Ask(const std::string& id) { return gateway_.Ask(id); }

 private:
  static std::vector<BackendServer> TwoEntries(uint16_t port) {
    auto servers = OneServer("desk", port);
    servers.push_back(servers.front());
    servers.back().id_ = "s2";
    servers.back().name_ = "s2";
    return servers;
  }

  boost::asio::io_context io_;
  RelayGateway gateway_;
};

/// A stage pool of one scripted server.
class SingleServerPool {
 public:
  explicit SingleServerPool(uint16_t port) {
    view_.SetServers(OneServer("press", port), SteadyNow());
    view_.SetOwners(1, {{"press", "gateway"}});
    pool_.Begin(SteadyNow());
  }

  void Run(const std::string& id, uint32_t pieces = 2) {
    StageTask task;
    task.request_id_ = id;
    task.pieces_ = pieces;
    task.key_ = "k";
    task.target_ = SteadyNow() + seconds(2);
    task.deadline_ = SteadyNow() + seconds(5);
    task.result_bytes_ = 10;
    bool is_done = false;
    pool_.Submit(
        std::move(task),
        [&](const StageOutcome& outcome) {
          is_done = true;
          got_ = outcome.handles_;
          not_run_ = outcome.not_run_;
        },
        [] {});
    while (!is_done) {
      if (io_.run_one() == 0) {
        // A piece waits for its next attempt, which is due by then.
        io_.restart();
        pool_.Tick(SteadyNow() + seconds(1));
      }
    }
  }

  /// Frees the results and waits until that call has ended.
  void Free() {
    pool_.Free(got_);
    io_.restart();
    io_.run();
    io_.restart();
  }

  std::vector<std::string> got_;
  bool not_run_ = false;

 private:
  boost::asio::io_context io_;
  const Dialect dialect_ = platform::MakeDialect();
  FleetView view_;
  StageClient client_{&io_, StageLimits()};
  EventLog log_{"gateway",
                {[](std::string_view) { return true; }, SteadyNow,
                 [] { return int64_t{0}; }}};
  ServerLimits server_limits_{"gateway"};
  LimitWatch limits_{&server_limits_,
                     &log_,
                     {[](const wire::fleet::ServerLimits&) {}, SteadyNow}};
  ReachWatch reach_{[](uint64_t) { return uint64_t{0}; }, &log_, NoProbes()};
  StagePool pool_{"press",
                  PressSpec(2),
                  PoolRepeatBudget("press",
                                   "gateway",
                                   {0.2, 10, seconds(10)},
                                   &view_,
                                   TimePoint()),
                  &limits_,
                  &reach_,
                  &view_,
                  &dialect_,
                  &client_,
                  &log_};
};

/// A stage server that replies twice to calls that free results, the second
/// time before the reply to the next call.
class RepeatingFreeServer {
 public:
  /// Makes pieces for the first `most` calls and refuses the others.
  explicit RepeatingFreeServer(std::string free_reply,
                               int most = 100,
                               int pieces = 2)
      : free_reply_(std::move(free_reply)),
        most_(most),
        pieces_(pieces),
        listener_(
            [this](boost::asio::ip::tcp::socket* socket) { Serve(socket); }) {}

  uint16_t port() const { return listener_.port(); }
  int made() const { return made_; }

 private:
  void Serve(boost::asio::ip::tcp::socket* socket) {
    std::string text;
    std::string late;
    boost::system::error_code error;
    while (true) {
      const size_t got = boost::asio::read_until(
          *socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", error);
      if (error) {
        return;
      }
      const bool frees =
          text.substr(0, got).find("/v1/stage-free") != std::string::npos;
      text.erase(0, got);
      const std::string reply = frees ? free_reply_ : Make();
      boost::asio::write(*socket, boost::asio::buffer(late + reply), error);
      late = frees ? free_reply_ : "";
    }
  }

  std::string Make() {
    if (made_ >= most_) {
      return kRefusal;
    }
    const std::string producer = "127.0.0.1:" + std::to_string(port()) + "/" +
                                 std::to_string(++made_) + "-";
    std::string items;
    for (int i = 0; i < pieces_; ++i) {
      items += (i == 0 ? "" : ",") + (R"({"handle":")" + producer) +
               std::to_string(i) + "\"}";
    }
    return Reply("", R"({"items":[)" + items + "]}");
  }

  const std::string free_reply_;
  const int most_;
  const int pieces_;
  std::atomic<int> made_{0};
  // Last member, so that its threads end before the members that they use are
  // destroyed.
  ThreadedListener listener_;
};

// Checks that the caller got no other request's response; with `is_served`,
// also that it got its own.
void CheckOwnOrNone(const RecordedCaller& caller,
                    const std::string& id,
                    bool is_served = false) {
  REQUIRE(caller.reply_);
  // The servers of these tests don't fail calls.
  CHECK(caller.reply_->status_ != 500);
  CHECK((!is_served || caller.reply_->status_ == 200));
  if (caller.reply_->status_ == 200) {
    CHECK(caller.reply_->body_ == Answer(id));
    size_t seals = 0;
    for (const HttpHeader& header : caller.reply_->headers_) {
      if (header.name_ == "X-Citronlane-Response-Seal") {
        ++seals;
        CHECK(header.value_ == "seal-of-" + id);
      }
    }
    CHECK(seals == 1);
  }
}

}  // namespace

TEST_CASE("a late second reply is discarded") {
  std::string late;
  bool is_whole = false;
  SECTION("that names the request it was for") {
    late = ReplyTo("a");
    is_whole = true;
  }
  SECTION("that names no request") {
    is_whole = true;
    late = Reply(std::string(kSeal) + "seal-of-a\r\n", Answer("a"));
  }
  SECTION("that names no request and is a failure") {
    is_whole = true;
    late =
        "HTTP/1.1 503 No\r\nX-Citronlane-Not-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n";
  }
  SECTION("that is cut off in its head, so that the next one runs into it") {
    late = std::string("HTTP/1.1 200 OK\r\n") + kId + "a\r\n" + kSeal +
           "seal-of-a\r\nContent-Type: text/pl";
  }
  SECTION("that is cut off before it names anything") {
    late = "HTTP/1.1 500 Oops\r\nContent-Type: te";
  }
  SECTION("that is cut off in its status line") {
    late = "HTTP/1.1 500 Oo";
  }
  SECTION("that is cut off in a header that contains an HTTP version") {
    late = "HTTP/1.1 500 Oops\r\nVia: HTTP/1.1 pro";
  }
  SECTION("that is cut off within what looks like an HTTP version") {
    late = "HTTP/1.1 500 Oops\r\nVia: HTTP/1.";
  }
  SECTION("that is cut off in its body") {
    late = ReplyTo("a").substr(0, ReplyTo("a").size() - 3);
  }
  // The second call's own reply follows immediately. If it can't be determined
  // where that begins, the call is repeated.
  std::vector<std::string> script = {ReplyTo("a"), late + ReplyTo("b"),
                                     ReplyTo("b"), ReplyTo("c")};
  if (is_whole) {
    script.erase(script.begin() + 2);
  }
  ScriptedServer server(script);
  Gateway gateway(server.port());
  const RecordedCaller first = gateway.Ask("a");
  REQUIRE(first.reply_);
  CHECK(first.reply_->body_ == Answer("a"));
  CheckOwnOrNone(gateway.Ask("b"), "b", true);
  CheckOwnOrNone(gateway.Ask("c"), "c", true);
}

// A streaming route uses a new connection for each call, where another
// request's reply can only arrive if the server mixes up its connections.
TEST_CASE("a stream on a new connection accepts no other request's reply") {
  std::string other;
  SECTION("that names that request") {
    other = ReplyTo("a");
  }
  SECTION("that names none") {
    other = Reply(std::string(kSeal) + "seal-of-a\r\n", Answer("a"));
  }
  SECTION("that is cut off in its head") {
    other = std::string("HTTP/1.1 200 OK\r\n") + kId + "a\r\n" + kSeal +
            "seal-of-a\r\nContent-Type: text/ev";
  }
  ScriptedServer server({other + ReplyTo("b")});
  Gateway gateway(server.port(), RouteKind::kStreaming);
  CheckOwnOrNone(gateway.Ask("b"), "b");
}

TEST_CASE("a reply must show that it belongs to the request") {
  std::string reply;
  SECTION("by naming it, once") {
    reply = Reply(
        std::string(kId) + "a\r\n" + kId + "b\r\n" + kSeal + "seal-of-a\r\n",
        Answer("a"));
  }
  SECTION("by one seal") {
    reply = Reply(std::string(kId) + "b\r\n" + kSeal + "seal-of-a\r\n" + kSeal +
                      "seal-of-b\r\n",
                  Answer("b"));
  }
  SECTION("by naming it at all, when it is a success") {
    reply = Reply(std::string(kSeal) + "seal-of-b\r\n", Answer("b"));
  }
  SECTION("by a seal at all, when it is a success") {
    reply = Reply(std::string(kId) + "b\r\n", Answer("b"));
  }
  ScriptedServer server({reply});
  Gateway gateway(server.port());
  const RecordedCaller caller = gateway.Ask("b");
  REQUIRE(caller.reply_);
  CHECK(caller.reply_->status_ != 200);
}

// Both calls have the same request id, which therefore can't tell their replies
// apart: the second call has to use another connection.
TEST_CASE("a request's second call gets no late reply to its first") {
  const std::string failure = "HTTP/1.1 500 Oops\r\n" + std::string(kId) +
                              "b\r\n" + kSeal +
                              "seal-of-b\r\nContent-Length: 0\r\n\r\n";
  ScriptedServer server({ReplyTo("a"), failure, ReplyTo("b")});
  Gateway gateway(server.port());
  gateway.Ask("a");
  CHECK(server.connections() == 1);
  CheckOwnOrNone(gateway.Ask("b"), "b");
  CHECK(server.connections() == 2);
}

// A server that can't read a call replies without a request id. On a new
// connection the reply can only belong to this call, which ends at once.
TEST_CASE("a failure without a request id on a new connection ends its call") {
  const std::string refusal =
      "HTTP/1.1 400 No\r\nX-Citronlane-Not-Run: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  // Both server entries are tried.
  ScriptedServer server({refusal, refusal, ReplyTo("c")});
  Gateway gateway(server.port());
  const RecordedCaller caller = gateway.Ask("b");
  REQUIRE(caller.reply_);
  CHECK(caller.reply_->status_ == 503);
  CheckOwnOrNone(gateway.Ask("c"), "c", true);
  CHECK(server.connections() == 3);
}

// The pieces of two requests are sent one after the other to a server that
// replies twice to the first call.
TEST_CASE("a stage call accepts no other call's results") {
  std::string late;
  const std::string second =
      R"({"items":[{"handle":"h/b0"},{"handle":"h/b1"}]})";
  SECTION("a second reply to the previous call") {
    late = Reply("", R"({"items":[{"handle":"h/a0"},{"handle":"h/a1"}]})");
  }
  SECTION("a reply to a call of another size") {
    late = Reply("", R"({"items":[{"handle":"h/x0"}]})");
  }
  SECTION("a reply to a call that freed results") {
    late = Reply("", "{}");
  }
  SECTION("an empty reply to a call that freed results") {
    late = Reply("", "");
  }
  ScriptedServer server(
      {Reply("", R"({"items":[{"handle":"h/a0"},{"handle":"h/a1"}]})"),
       late + Reply("", second)});
  SingleServerPool pool(server.port());
  pool.Run("a");
  CHECK(pool.got_ == std::vector<std::string>{"h/a0", "h/a1"});
  pool.Run("b");
  CHECK(pool.got_ == std::vector<std::string>{"h/b0", "h/b1"});
}

// Such a reply could belong to any call, so that its connection is not reused
// and nothing after it is read.
TEST_CASE("a stage reply that names no result is the last on its connection") {
  std::string reply;
  SECTION("nothing was made") {
    reply = Reply("", R"({"items":[{"reason":"room"},{"reason":"room"}]})");
  }
  SECTION("the call was refused") {
    reply =
        "HTTP/1.1 503 No\r\nX-Citronlane-Not-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n";
  }
  const std::string made = R"({"items":[{"handle":"h/0"},{"handle":"h/1"}]})";
  ScriptedServer server({reply, Reply("", made)});
  SingleServerPool pool(server.port());
  pool.Run("a");
  CHECK(pool.got_ == std::vector<std::string>{"h/0", "h/1"});
  CHECK(server.connections() == 2);
}

// A piece of the first call is made again, because its result was gone, in one
// call with another request's piece, and the late second reply to the first
// call comes first.
TEST_CASE("a stage reply is checked by all its handles") {
  const auto piece = [](const std::string& request, uint32_t number) {
    StagePiece made;
    made.request_id_ = request;
    made.piece_ = number;
    return made;
  };
  const auto made = [](const std::string& handle) {
    StagePieceResult result;
    result.outcome_ = StagePieceResult::Outcome::kDone;
    result.handle_ = handle;
    return result;
  };
  using Match = StageReplyCheck::Match;
  StageReplyCheck check(seconds(10));
  const TimePoint now = SteadyNow();
  const std::vector<StagePieceResult> reply = {made("h/a0"), made("h/b0")};
  CHECK(check.Take(reply, std::vector<StagePiece>{piece("a", 0), piece("b", 0)},
                   now) == Match::kOwn);
  CHECK(check.Take(reply, std::vector<StagePiece>{piece("a", 0), piece("c", 0)},
                   now) == Match::kDuplicateHandle);
}

// Calls that free results share the connections of stage calls, and their
// replies name nothing.
TEST_CASE("a late second reply to a call that freed results fails no call") {
  std::string free_reply;
  SECTION("that was a success") {
    free_reply = Reply("", "");
  }
  SECTION("that was a refusal") {
    free_reply = kRefusal;
  }
  RepeatingFreeServer server(free_reply);
  SingleServerPool pool(server.port());
  pool.Run("a");
  CHECK(pool.got_.size() == 2);
  pool.Free();
  pool.Run("b");
  CHECK(pool.got_.size() == 2);
  // One call made the pieces of a, one those of b.
  CHECK(server.made() == 2);
}

// The refused call is the one that freed results. The server accepts b's piece;
// it would refuse only a repetition of that call.
TEST_CASE("a refusal of a call that freed results refuses no stage call") {
  RepeatingFreeServer server(kRefusal, 2, 1);
  SingleServerPool pool(server.port());
  pool.Run("a", 1);
  CHECK(pool.got_.size() == 1);
  pool.Free();
  pool.Run("b", 1);
  CHECK(server.made() == 2);
  CHECK_FALSE(pool.not_run_);
}

}  // namespace citronlane
