// Guards against the reply of a server that stops within its head and closes
// the connection being passed on as a whole one, empty or short.

#include <catch2/catch.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/transport/stage_call.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_reply_head.h"
#include "support/desk_config.h"
#include "support/recorded_caller.h"
#include "support/relay_gateway.h"
#include "support/scripted_server.h"

namespace citronlane {
namespace {

using std::chrono::seconds;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// A whole reply to the request "a", and where its last head begins.
struct Reply {
  std::string text_;
  size_t last_head_ = 0;

  /// All beginnings that end within a head. Those without any byte of the last
  /// head have an interim one only.
  std::vector<std::string> Cuts() const {
    std::vector<std::string> cuts;
    const size_t end = text_.find(kHeadEnd, last_head_) + kHeadEnd.size();
    for (size_t size = 1; size < end; ++size) {
      cuts.push_back(text_.substr(0, size));
    }
    return cuts;
  }
};

std::vector<Reply> Replies() {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Citronlane-Request-Id: a\r\n"
      "X-Citronlane-Response-Seal: seal\r\n";
  const std::string event = "id: 0\ndata: x\n\n";
  const std::vector<std::string> replies = {
      head + "Content-Length: 15\r\n\r\n" + event,
      head + "Content-Length: 0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event +
          "\r\n0\r\n\r\n",
      head + "\r\n" + event,
      // A body whose cut beginning could be taken for a head.
      head + "Content-Length: 19\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
  };
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  std::vector<Reply> all;
  for (const std::string& reply : replies) {
    all.push_back({reply, 0});
    all.push_back({interim + reply, interim.size()});
  }
  return all;
}

CallOutcome OutcomeOf(const std::string& bytes, bool streams) {
  boost::asio::io_context io;
  ScriptedServer server({bytes, "!"});
  StageClient client(&io, StageLimits());
  StageCallSpec spec;
  spec.address_ = "127.0.0.1";
  spec.port_ = server.port();
  spec.method_ = "GET";
  spec.target_ = "/x";
  spec.streams_ = streams;
  spec.deadline_ = SteadyNow() + seconds(60);
  std::optional<CallOutcome> outcome;
  StageCallHooks hooks;
  hooks.sending_ = [] { return true; };
  hooks.head_ = [](const StageReplyHead&) { return true; };
  hooks.data_ = [](std::string_view) {};
  hooks.done_ = [&outcome](CallOutcome ended, const std::string&) {
    outcome = ended;
  };
  client.Start(std::move(spec), std::move(hooks));
  io.run();
  return outcome.value();
}

}  // namespace

TEST_CASE("a call whose reply is cut within a head ends as broken") {
  const bool streams = GENERATE(false, true);
  for (const Reply& reply : Replies()) {
    for (const std::string& cut : reply.Cuts()) {
      CAPTURE(streams, cut);
      CHECK(OutcomeOf(cut, streams) == CallOutcome::kClosedAfterSend);
    }
    CAPTURE(streams, reply.text_);
    CHECK(OutcomeOf(reply.text_, streams) == CallOutcome::kSuccess);
  }
}

TEST_CASE("a caller gets no reply that was cut within a head") {
  const RouteKind kind =
      GENERATE(RouteKind::kSafe, RouteKind::kUnsafe, RouteKind::kStreaming);
  for (const Reply& reply : Replies()) {
    for (const std::string& cut : reply.Cuts()) {
      boost::asio::io_context io;
      ScriptedServer server({cut, "!"});
      RelayGateway gateway(&io, DeskConfig(kind), "desk",
                           DeskServer(server.port()));
      const RecordedCaller caller = gateway.Ask("a");
      CAPTURE(static_cast<int>(kind), cut);
      REQUIRE(caller.reply_);
      // The server may have run the request.
      CHECK(caller.reply_->status_ == 502);
    }
  }
}

}  // namespace citronlane
