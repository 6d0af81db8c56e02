#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/transport/stage_client.h"
#include "support/scripted_server.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;

const std::string kept_reply =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: r/0/0\r\nContent-Length: 2\r\n\r\nok";

/// A client with what its calls told.
struct Bench {
  void Run(uint16_t port, bool fresh = false, bool streams = false) {
    StageCallSpec spec;
    spec.address_ = "127.0.0.1";
    spec.port_ = port;
    spec.target_ = "/x";
    spec.fresh_connection_ = fresh;
    spec.attempt_id_ = attempt_id_;
    spec.streams_ = streams;
    spec.deadline_ = SteadyNow() + std::chrono::seconds(10);
    StageCallHooks hooks;
    hooks.sending_ = [this] {
      ++sent_;
      return true;
    };
    hooks.head_ = [this](const StageReplyHead& head) {
      head_ = head;
      return true;
    };
    hooks.data_ = [this](std::string_view piece) { body_ += piece; };
    hooks.done_ = [this](CallOutcome outcome, const std::string& body) {
      outcomes_.push_back(outcome);
      body_ += body;
    };
    client_.Start(std::move(spec), std::move(hooks));
    io_.restart();
    io_.run();
  }

  asio::io_context io_;
  StageLimits limits_;
  StageClient client_{&io_, limits_};
  std::string attempt_id_;
  int sent_ = 0;
  StageReplyHead head_;
  std::string body_;
  std::vector<CallOutcome> outcomes_;
};

}  // namespace

TEST_CASE("stage call whose io_context goes") {
  ScriptedServer server({""});
  struct Owner {
    std::shared_ptr<StageCall> call_;
    bool sent_ = false;
  };
  auto owner = std::make_shared<Owner>();
  const std::weak_ptr<Owner> watched = owner;
  {
    asio::io_context io;
    StageClient client(&io, StageLimits());
    StageCallSpec spec;
    spec.address_ = "127.0.0.1";
    spec.port_ = server.port();
    spec.deadline_ = SteadyNow() + std::chrono::seconds(10);
    StageCallHooks hooks;
    hooks.sending_ = [owner] { return owner->sent_ = true; };
    hooks.head_ = [owner](const StageReplyHead&) { return true; };
    hooks.done_ = [owner](CallOutcome, const std::string&) {};
    owner->call_ = client.Start(std::move(spec), std::move(hooks));
    SECTION("before it began drops its hooks") {}
    SECTION("while it waits drops its hooks") {
      while (!owner->sent_) {
        io.run_one();
      }
    }
    owner.reset();
  }
  CHECK(watched.expired());
}

TEST_CASE("stage client") {
  Bench bench;

  SECTION("uses a connection again") {
    ScriptedServer server({kept_reply, kept_reply});
    bench.Run(server.port());
    bench.Run(server.port());
    CHECK(bench.body_ == "okok");
    CHECK(bench.head_.echoed_id_ == "r/0/0");
    CHECK(server.connections() == 1);
  }

  SECTION("sends a call once when the server closes after reading it") {
    ScriptedServer server({kept_reply, "", kept_reply});
    bench.Run(server.port());
    bench.Run(server.port());
    CHECK(bench.outcomes_.back() == CallOutcome::kClosedAfterSend);
    CHECK(bench.sent_ == 2);
    CHECK(server.reads() == 2);
    bench.Run(server.port());
    CHECK(bench.outcomes_.back() == CallOutcome::kSuccess);
  }

  SECTION("leaves a connection that the server closed meanwhile") {
    ScriptedServer server({kept_reply, "!", kept_reply});
    bench.Run(server.port());
    server.WaitForClose();
    bench.Run(server.port());
    CHECK(bench.outcomes_.back() == CallOutcome::kSuccess);
    CHECK(bench.sent_ == 2);
    CHECK(server.connections() == 2);
  }

  SECTION("never uses a connection again for a call that may not repeat") {
    ScriptedServer server({kept_reply, kept_reply});
    bench.Run(server.port());
    bench.Run(server.port(), true);
    CHECK(server.connections() == 2);
  }

  SECTION("keeps no connection after a reply that names no or another call") {
    const std::string other =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: r/9/0\r\nContent-Length: 0\r\n\r\n";
    const std::string nobodys = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    ScriptedServer server({kept_reply, other, nobodys, kept_reply});
    bench.attempt_id_ = "r/0/0";
    for (int call = 0; call < 4; ++call) {
      bench.Run(server.port());
    }
    CHECK(server.connections() == 3);
  }
  SECTION("takes no reply that an unfinished one ran into") {
    ScriptedServer server({"HTTP/1.1 200 OK\r\nContent-Type: te" + kept_reply});
    bench.Run(server.port());
    CHECK(bench.outcomes_.back() == CallOutcome::kWrongId);
  }
  SECTION("sends nothing when no connection is made") {
    uint16_t port = 0;
    {
      ScriptedServer gone({});
      port = gone.port();
    }
    bench.Run(port);
    CHECK(bench.outcomes_.back() == CallOutcome::kConnectFailed);
    CHECK(bench.sent_ == 0);
  }

  SECTION("tells cut, oversized and malformed replies from whole ones") {
    const std::vector<std::pair<std::string, CallOutcome>> cases = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
         CallOutcome::kClosedAfterSend},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
         CallOutcome::kServerError},
        {"HTTP/1.1 200 OK\r\nX: " + std::string(20000, 'x') + "\r\n\r\n",
         CallOutcome::kServerError},
        {"nonsense\r\n\r\n", CallOutcome::kServerError},
    };
    for (const auto& [reply, outcome] : cases) {
      INFO(reply.substr(0, 60));
      ScriptedServer server({reply, "!"});
      bench.Run(server.port());
      CHECK(bench.outcomes_.back() == outcome);
    }
  }

  SECTION("gives a stream piece by piece, and knows when it is cut") {
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
    ScriptedServer server({head + "1\r\nc\r\n0\r\n\r\n", head, "!"});
    bench.Run(server.port(), false, true);
    CHECK(bench.body_ == "abc");
    CHECK(bench.outcomes_.back() == CallOutcome::kSuccess);
    bench.Run(server.port(), false, true);
    CHECK(bench.outcomes_.back() == CallOutcome::kClosedAfterSend);
  }

  SECTION("reads the load that a server reports") {
    ScriptedServer server(
        {"HTTP/1.1 503 Busy\r\nX-Load: 7.5\r\nX-Load-Age-Ms: 20\r\n"
         "X-Draining: 1\r\nContent-Length: 0\r\n\r\n"});
    bench.Run(server.port());
    CHECK(bench.head_.load_ == 7.5);
    CHECK(bench.head_.load_age_ == std::chrono::milliseconds(20));
    CHECK(bench.head_.draining_);
  }
}

}  // namespace citronlane
