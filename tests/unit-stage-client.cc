#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/transport/stage_client.h"
#include "support/scripted_server.h"
#include "support/threaded_listener.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;

const std::string kept_reply =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: r/0/0\r\nContent-Length: 2\r\n\r\nok";

/// A client that records the hooks of its calls.
struct ClientHarness {
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
    hooks.data_ = [this](std::string_view fragment) { body_ += fragment; };
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

TEST_CASE("stage call whose io_context is destroyed") {
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
    SECTION("before it has started destroys its hooks") {}
    SECTION("while it waits destroys its hooks") {
      while (!owner->sent_) {
        io.run_one();
      }
    }
    owner.reset();
  }
  CHECK(watched.expired());
}

// A pause is no sign that another server would do better: only the deadline
// bounds a whole reply.
TEST_CASE("a server that pauses inside the body of a whole reply") {
  std::promise<void> pause_ends;
  ThreadedListener server([&pause_ends](asio::ip::tcp::socket* socket) {
    std::string text;
    boost::system::error_code error;
    asio::read_until(*socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
    asio::write(*socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha")),
                error);
    pause_ends.get_future().wait();
    asio::write(*socket, asio::buffer(std::string("lf")), error);
  });
  asio::io_context io;
  StageLimits limits;
  // Any pause is longer.
  limits.read_timeout_ = Duration();
  StageClient client(&io, limits);
  StageCallSpec spec;
  spec.address_ = "127.0.0.1";
  spec.port_ = server.port();
  spec.target_ = "/x";
  spec.deadline_ = SteadyNow() + std::chrono::minutes(1);
  bool has_head = false;
  std::vector<CallOutcome> outcomes;
  std::string body;
  StageCallHooks hooks;
  hooks.sending_ = [] { return true; };
  hooks.head_ = [&has_head](const StageReplyHead&) {
    has_head = true;
    return true;
  };
  hooks.done_ = [&outcomes, &body](CallOutcome outcome, std::string whole) {
    outcomes.push_back(outcome);
    body = std::move(whole);
  };
  client.Start(std::move(spec), std::move(hooks));
  while (!has_head) {
    io.run_one();
  }
  io.poll();
  CHECK(outcomes.empty());
  pause_ends.set_value();
  io.run();
  CHECK(outcomes == std::vector<CallOutcome>{CallOutcome::kSuccess});
  CHECK(body == "half");
}

TEST_CASE("stage client") {
  ClientHarness harness;

  SECTION("reuses a connection") {
    ScriptedServer server({kept_reply, kept_reply});
    harness.Run(server.port());
    harness.Run(server.port());
    CHECK(harness.body_ == "okok");
    CHECK(harness.head_.echoed_id_ == "r/0/0");
    CHECK(server.connections() == 1);
  }

  SECTION("sends a call once when the server closes after reading it") {
    ScriptedServer server({kept_reply, "", kept_reply});
    harness.Run(server.port());
    harness.Run(server.port());
    CHECK(harness.outcomes_.back() == CallOutcome::kClosedAfterSend);
    CHECK(harness.sent_ == 2);
    CHECK(server.reads() == 2);
    harness.Run(server.port());
    CHECK(harness.outcomes_.back() == CallOutcome::kSuccess);
  }

  SECTION("discards a connection that the server has closed") {
    ScriptedServer server({kept_reply, "!", kept_reply});
    harness.Run(server.port());
    server.WaitForClose();
    harness.Run(server.port());
    CHECK(harness.outcomes_.back() == CallOutcome::kSuccess);
    CHECK(harness.sent_ == 2);
    CHECK(server.connections() == 2);
  }

  SECTION("never reuses a connection for a call that must not be repeated") {
    ScriptedServer server({kept_reply, kept_reply});
    harness.Run(server.port());
    harness.Run(server.port(), true);
    CHECK(server.connections() == 2);
  }

  SECTION(
      "keeps no connection after a reply that echoes no id or another one") {
    const std::string other =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: r/9/0\r\nContent-Length: 0\r\n\r\n";
    const std::string nobodys = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    ScriptedServer server({kept_reply, other, nobodys, kept_reply});
    harness.attempt_id_ = "r/0/0";
    for (int call = 0; call < 4; ++call) {
      harness.Run(server.port());
    }
    CHECK(server.connections() == 3);
  }
  SECTION("accepts no reply that an incomplete one ran into") {
    ScriptedServer server({"HTTP/1.1 200 OK\r\nContent-Type: te" + kept_reply});
    harness.Run(server.port());
    CHECK(harness.outcomes_.back() == CallOutcome::kWrongId);
  }
  SECTION("sends nothing when it can't connect") {
    uint16_t port = 0;
    {
      ScriptedServer gone({});
      port = gone.port();
    }
    harness.Run(port);
    CHECK(harness.outcomes_.back() == CallOutcome::kConnectFailed);
    CHECK(harness.sent_ == 0);
  }

  SECTION("detects incomplete, oversized and malformed replies") {
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
      harness.Run(server.port());
      CHECK(harness.outcomes_.back() == outcome);
    }
  }

  SECTION("passes a stream on in fragments and detects that it is incomplete") {
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
    ScriptedServer server({head + "1\r\nc\r\n0\r\n\r\n", head, "!"});
    harness.Run(server.port(), false, true);
    CHECK(harness.body_ == "abc");
    CHECK(harness.outcomes_.back() == CallOutcome::kSuccess);
    harness.Run(server.port(), false, true);
    CHECK(harness.outcomes_.back() == CallOutcome::kClosedAfterSend);
  }

  SECTION("reads the load that a server reports") {
    ScriptedServer server(
        {"HTTP/1.1 503 Busy\r\nX-Load: 7.5\r\nX-Load-Age-Ms: 20\r\n"
         "X-Draining: 1\r\nContent-Length: 0\r\n\r\n"});
    harness.Run(server.port());
    CHECK(harness.head_.load_ == 7.5);
    CHECK(harness.head_.load_age_ == std::chrono::milliseconds(20));
    CHECK(harness.head_.draining_);
  }
}

}  // namespace citronlane
