// Guards against replies without end. A server in trouble may send bytes that
// are no answer until its peer closes: in a head, in a body or between them. A
// reader that waits for the end keeps them all, and the memory of its process
// grows until the process ends with all requests in flight.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/server_list_reader.h"
#include "citronlane/relay/server_call_limits.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/transport/held_reply.h"
#include "citronlane/transport/reply_memory.h"
#include "citronlane/transport/stage_call.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_reply_head.h"
#include "citronlane/transport/vm_list_client.h"
#include "platform/dialect.h"
#include "support/desk_config.h"
#include "support/endless_server.h"
#include "support/recorded_caller.h"
#include "support/relay_gateway.h"
#include "support/scripted_server.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using std::chrono::seconds;
using tcp = boost::asio::ip::tcp;

constexpr uint32_t kGatewayMemoryMb = 256;
/// Longer than any of these calls takes, so that no deadline ends one.
constexpr Duration kLongTime = seconds(120);

const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string letters(1024, 'x');
const std::string chunk = "400\r\n" + letters + "\r\n";

/// Head of a success that a gateway accepts for the request "a".
std::string HeadOf(const std::string& headers) {
  return "HTTP/1.1 200 OK\r\nX-Citronlane-Request-Id: a\r\n"
         "X-Citronlane-Response-Seal: seal\r\n" +
         headers + "\r\n";
}

std::string WholeReply(const std::string& body) {
  return HeadOf("Content-Length: " + std::to_string(body.size()) + "\r\n") +
         body;
}

StageCallSpec SpecOf(uint16_t port, bool streams) {
  StageCallSpec spec;
  spec.address_ = "127.0.0.1";
  spec.port_ = port;
  spec.method_ = "GET";
  spec.target_ = "/x";
  spec.streams_ = streams;
  spec.deadline_ = SteadyNow() + kLongTime;
  return spec;
}

/// A client with the limits of a gateway, and what its last call had.
struct Client {
  StageCallHooks Hooks() {
    StageCallHooks hooks;
    hooks.sending_ = [] { return true; };
    hooks.head_ = [](const StageReplyHead&) { return true; };
    hooks.data_ = [this](std::string_view bytes) { bytes_ += bytes.size(); };
    hooks.done_ = [this](CallOutcome outcome, const std::string& body) {
      outcome_ = outcome;
      bytes_ += body.size();
    };
    return hooks;
  }

  CallOutcome Run(uint16_t port, bool streams, StageCallHooks hooks) {
    call_ = client_.Start(SpecOf(port, streams), std::move(hooks));
    io_.restart();
    io_.run();
    REQUIRE(outcome_);
    return *outcome_;
  }

  asio::io_context io_;
  StageClient client_{&io_, ServerCallLimits(kGatewayMemoryMb)};
  /// Kept as the owners of calls may do.
  std::shared_ptr<StageCall> call_;
  std::optional<CallOutcome> outcome_;
  uint64_t bytes_ = 0;
};

/// A server on the client's event loop that sends one header field at a time,
/// each with the first byte of the next one: hardly anything is left to be
/// parsed when more arrives.
class FieldByFieldServer {
 public:
  explicit FieldByFieldServer(asio::io_context* io)
      : io_(io),
        acceptor_(*io, {asio::ip::make_address("127.0.0.1"), 0}),
        socket_(*io) {
    acceptor_.async_accept(socket_, [this](const auto& error) {
      REQUIRE_FALSE(error);
      socket_.set_option(tcp::no_delay(true));
      asio::async_read_until(
          socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
          [this](const auto&, size_t) { Send("HTTP/1.1 200 OK\r\nX"); });
    });
  }

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  bool has_run_out() const { return fields_ == kMaxFields; }

 private:
  static constexpr size_t kMaxFields = 100'000;

  void Send(const std::string& text) {
    boost::system::error_code error;
    asio::write(socket_, asio::buffer(text), error);
    if (error || has_run_out()) {
      socket_.close();
      return;
    }
    ++fields_;
    asio::post(*io_, [this] { Send("-A: b\r\nX"); });
  }

  asio::io_context* const io_;
  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::string request_;
  size_t fields_ = 0;
};

ServingConfig::Parts TwiceTried(RouteKind kind) {
  ServingConfig::Parts parts = DeskConfig(kind);
  Route route = *parts.routes_.front();
  route.max_attempts_ = 2;
  route.resumable_ = kind == RouteKind::kStreaming;
  // No server counts as silent while it sends nothing.
  route.target_latency_ = kLongTime;
  route.timeout_ = kLongTime;
  parts.routes_ = {std::make_shared<const Route>(route)};
  return parts;
}

/// Two entries for one server, which gets both attempts.
std::vector<BackendServer> TwoEntries(uint16_t port) {
  std::vector<BackendServer> servers = DeskServer(port);
  servers.push_back(servers.front());
  servers.back().id_ = "s2";
  servers.back().name_ = "s2";
  return servers;
}

bool HasLine(const RelayGateway& gateway,
             std::string_view event,
             std::string_view reason) {
  const auto& lines = gateway.log_lines();
  return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
    return line.find(event) != std::string::npos &&
           line.find(reason) != std::string::npos;
  });
}

/// A caller that is slow to read: while it gets bytes, the event loop handles
/// whatever has arrived.
class SlowCaller : public RecordedCaller {
 public:
  explicit SlowCaller(asio::io_context* io) : RecordedCaller(io), io_(io) {}

  bool Write(std::string_view bytes) override {
    constexpr int kPolls = 300;
    most_bytes_ = std::max(most_bytes_, bytes.size());
    all_bytes_ += bytes.size();
    for (int i = 0; i < kPolls; ++i) {
      io_->restart();
      io_->poll();
    }
    return true;
  }

  /// Size of the largest part that was ready at once, and of all parts.
  size_t most_bytes_ = 0;
  size_t all_bytes_ = 0;

 private:
  asio::io_context* const io_;
};

}  // namespace

TEST_CASE("a reply without end ends its call") {
  struct Case {
    std::string name_;
    std::string head_;
    std::string piece_;
    CallOutcome outcome_ = CallOutcome::kServerError;
    /// A well-formed stream may be long.
    bool may_stream_ = false;
  };
  const std::vector<Case> cases = {
      {"no HTTP", "", "no answer "},
      {"no HTTP, in lines", "", "no answer\r\n\r\n"},
      {"empty lines", "", "\r\n"},
      {"status line", "HTTP/1.1 200 ", letters},
      {"header line", "HTTP/1.1 200 OK\r\nX: ", letters},
      {"header fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
      {"interim replies", "", "HTTP/1.1 100 Continue\r\n\r\n",
       CallOutcome::kWrongId},
      {"size of a chunk", chunked, "0"},
      {"chunk extension", chunked + "1;", letters},
      {"trailer field", chunked + "0\r\nX: ", letters},
      {"trailer", chunked + "0\r\n", "X-A: b\r\n"},
      {"body to the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", letters,
       CallOutcome::kServerError, true},
      {"chunked body", chunked, chunk, CallOutcome::kServerError, true},
      {"body with a length",
       "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", letters,
       CallOutcome::kServerError, true},
      {"body longer than a number",
       "HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999\r\n\r\n",
       letters},
  };
  for (const Case& each : cases) {
    for (const bool streams : {false, true}) {
      if (streams && each.may_stream_) {
        continue;
      }
      INFO(each.name_ << (streams ? ", streamed" : ""));
      EndlessServer server(each.head_, each.piece_);
      Client client;
      CHECK(client.Run(server.port(), streams, client.Hooks()) ==
            each.outcome_);
      server.WaitForClose();
      CHECK_FALSE(server.has_run_out());
      CHECK(client.bytes_ == 0);
      CHECK(client.client_.reply_memory()->held_bytes() == 0);
    }
  }
}

TEST_CASE("a head whose fields arrive one by one ends its call") {
  Client client;
  FieldByFieldServer server(&client.io_);
  CHECK(client.Run(server.port(), false, client.Hooks()) ==
        CallOutcome::kServerError);
  CHECK_FALSE(server.has_run_out());
}

TEST_CASE("a reply to another call without end ends the call") {
  EndlessServer server(chunked, chunk);
  Client client;
  StageCallHooks hooks = client.Hooks();
  hooks.owner_ = [](const StageReplyHead&) { return ReplyOwner::kOtherCall; };
  const CallOutcome outcome = client.Run(server.port(), true, std::move(hooks));
  CHECK(outcome == CallOutcome::kWrongId);
  server.WaitForClose();
  CHECK_FALSE(server.has_run_out());
}

TEST_CASE("a stream is not read on while its reader takes nothing") {
  EndlessServer server(chunked, chunk);
  Client client;
  bool has_room = true;
  StageCallHooks hooks = client.Hooks();
  hooks.data_ = [&](std::string_view bytes) {
    CHECK(has_room);
    has_room = false;
    client.bytes_ += bytes.size();
  };
  hooks.has_room_ = [&] { return has_room; };
  const auto call =
      client.client_.Start(SpecOf(server.port(), true), std::move(hooks));
  const auto settle = [&] {
    while (has_room) {
      client.io_.run_one();
    }
    constexpr int kPolls = 100;
    for (int i = 0; i < kPolls; ++i) {
      client.io_.poll();
    }
  };
  settle();
  const uint64_t first = client.bytes_;
  CHECK(first > 0);
  has_room = true;
  call->ReadOn();
  settle();
  CHECK(client.bytes_ > first);
  SECTION("and ends when it is cancelled meanwhile") {
    call->Cancel();
    client.io_.run();
    CHECK_FALSE(client.outcome_);
    CHECK_FALSE(server.has_run_out());
  }
}

TEST_CASE("replies that are kept until they are whole share a memory") {
  StageLimits limits;
  limits.reply_body_bytes_ = 400'000;
  limits.total_reply_bytes_ = 1'000'000;
  ReplyMemory memory(limits);
  HeldReply first(&memory);
  HeldReply second(&memory);
  {
    HeldReply third(&memory);
    CHECK(first.Resize(400'000));
    CHECK_FALSE(first.Resize(400'001));
    CHECK(second.Resize(400'000));
    CHECK_FALSE(third.Resize(200'001));
    CHECK(third.Resize(200'000));
    CHECK(memory.held_bytes() == 1'000'000);
    HeldReply small(&memory);
    CHECK(small.Resize(10'000));
    CHECK_FALSE(small.Resize(100'000));
  }
  CHECK(memory.held_bytes() == 800'000);
  CHECK(first.Resize(1));
  CHECK(memory.held_bytes() == 400'000);

  SECTION("which is a part of a gateway's") {
    const StageLimits small = ServerCallLimits(kGatewayMemoryMb);
    CHECK(small.total_reply_bytes_ <= (uint64_t{kGatewayMemoryMb} << 20) / 8);
    CHECK(small.reply_body_bytes_ <= small.total_reply_bytes_ / 4);
  }
}

TEST_CASE("a gateway ends attempts whose reply has no end") {
  const StageLimits limits = ServerCallLimits(kGatewayMemoryMb);
  const std::string event = "id: 1\ndata: done\n\n";
  const auto ask = [&](const EndlessServer& server, RouteKind kind,
                       std::string_view reason) {
    asio::io_context io;
    RelayGateway gateway(&io, TwiceTried(kind), "desk",
                         TwoEntries(server.port()), limits);
    RecordedCaller caller = gateway.Ask(
        "a", {},
        std::chrono::duration_cast<std::chrono::milliseconds>(kLongTime));
    server.WaitForClose();
    CHECK_FALSE(server.has_run_out());
    CHECK(HasLine(gateway, "retry", reason));
    return caller;
  };

  SECTION("and tries another server after a body") {
    for (const std::string& framing :
         {std::string("Transfer-Encoding: chunked\r\n"), std::string(),
          std::string("Content-Length: 1000000000\r\n")}) {
      INFO(framing);
      EndlessServer server(HeadOf(framing), chunk, WholeReply("ok"));
      const RecordedCaller caller =
          ask(server, RouteKind::kSafe, "reply too large");
      REQUIRE(caller.reply_);
      CHECK(caller.reply_->body_ == "ok");
      CHECK(caller.replies_ == 1);
      CHECK(server.connections() == 2);
    }
  }
  SECTION("and tries another server after a head") {
    EndlessServer server("HTTP/1.1 200 OK\r\nX: ", letters, WholeReply("ok"));
    const RecordedCaller caller = ask(server, RouteKind::kSafe, "server_error");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->body_ == "ok");
  }
  SECTION("and tries another server after an event") {
    EndlessServer server(HeadOf("") + "id: 1\ndata: ", letters,
                         WholeReply(event));
    const RecordedCaller caller =
        ask(server, RouteKind::kStreaming, "reply too large");
    REQUIRE(caller.reply_);
    CHECK(caller.is_complete_);
    CHECK(caller.reply_->body_ == event);
  }
  SECTION("and refuses the request without another attempt") {
    EndlessServer server(HeadOf(""), letters);
    asio::io_context io;
    RelayGateway gateway(&io, DeskConfig(RouteKind::kUnsafe), "desk",
                         DeskServer(server.port()), limits);
    const RecordedCaller caller = gateway.Ask("a");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 502);
    CHECK(caller.replies_ == 1);
    CHECK_FALSE(server.has_run_out());
    CHECK(HasLine(gateway, "gave up", "reply too large"));
  }
  SECTION("and refuses the request when it came from another gateway") {
    EndlessServer server(HeadOf(""), letters);
    constexpr uint16_t kClosedPort = 2;
    asio::io_context io;
    RelayGateway gateway(&io, DeskConfig(RouteKind::kUnsafe), "desk",
                         DeskServer(kClosedPort), limits);
    const std::string address = "127.0.0.1:" + std::to_string(server.port());
    gateway.view()->SetGateways({{address + "0", "a", false, false, address}});
    gateway.CutOff();
    const RecordedCaller caller = gateway.Ask("a");
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 502);
    CHECK(caller.replies_ == 1);
    CHECK_FALSE(server.has_run_out());
    CHECK(HasLine(gateway, "request ended", "gateway lost"));
  }
}

TEST_CASE("a gateway holds a bounded part of a stream whose caller is slow") {
  constexpr size_t kMaxHeldBytes = size_t{128} << 10;
  asio::io_context io;
  const std::string events = "data: " + std::string(500, 'x') + "\n\n";
  std::string body;
  while (body.size() < size_t{16} << 20) {
    body += events;
  }
  ScriptedServer server({WholeReply(body)});
  RelayGateway gateway(&io, TwiceTried(RouteKind::kStreaming), "desk",
                       DeskServer(server.port()),
                       ServerCallLimits(kGatewayMemoryMb));
  HttpRequest request;
  request.method_ = "GET";
  request.target_ = "/x";
  request.headers_ = {{"Host", "h"},
                      {"X-Citronlane-Request-Id", "a"},
                      {"X-Citronlane-Deadline-Ms", "120000"}};
  SlowCaller caller(&io);
  gateway.service()->Serve(request, &caller);
  CHECK(caller.is_complete_);
  CHECK(caller.all_bytes_ == body.size());
  CHECK(caller.most_bytes_ <= kMaxHeldBytes);
}

TEST_CASE("a server list without end is not read to its end") {
  const Dialect dialect = platform::MakeDialect();
  Client client;
  std::optional<Error> failure;
  const auto read = [&](uint16_t port) {
    ServerListReader reader(&client.client_, &dialect,
                            "127.0.0.1:" + std::to_string(port));
    reader.Read([&](const std::optional<std::vector<BackendServer>>& servers,
                    const Error& error) {
      if (!servers) {
        failure = error;
      }
    });
    client.io_.run();
  };

  SECTION("in one page") {
    EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", letters);
    read(server.port());
    CHECK_FALSE(server.has_run_out());
    CHECK(failure);
  }
  SECTION("in many pages") {
    const std::string page = R"({"instances":[],"next":"p","more":")" +
                             std::string(size_t{1} << 20, 'x') + "\"}";
    const std::string last = R"({"instances":[]})";
    std::vector<std::string> pages(9, WholeReply(page));
    pages.push_back(WholeReply(last));
    ScriptedServer server(pages);
    read(server.port());
    REQUIRE(failure);
    CHECK(failure->message_.find("exceeds") != std::string::npos);
  }
}

TEST_CASE("a VM list without end is not read to its end") {
  const std::vector<std::pair<std::string, std::string>> replies = {
      {"HTTP/1.1 200 OK\r\n\r\n", letters},
      {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", letters},
      {chunked, chunk},
      {chunked + "1;", letters},
      {"HTTP/1.1 200 OK\r\nX: ", letters},
      {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
  };
  for (const auto& [head, piece] : replies) {
    INFO(head);
    EndlessServer server(head, piece);
    const VmListClient client("127.0.0.1:" + std::to_string(server.port()));
    Error error;
    CHECK_FALSE(client.Get(kLongTime, &error));
    CHECK_FALSE(server.has_run_out());
    CHECK(error.message_.find("server_error") != std::string::npos);
  }
}

}  // namespace citronlane
