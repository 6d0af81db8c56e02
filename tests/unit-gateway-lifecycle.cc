#include <atomic>
#include <future>
#include <mutex>

#include "citronlane/gateway/receipt.h"
#include "gateway_harness.h"

namespace citronlane {

TEST_CASE("gateway without a configuration or a lease refuses requests") {
  Fakes fakes;
  Gateway gateway(TestOptions(), {});
  Error error;
  REQUIRE(gateway.Start(&error));
  const auto ask = [&] {
    return Call(gateway.port(), http::verb::post, "/v1/pipelines/ask",
                R"({"input": "x"})", key_header);
  };
  const auto ready = [&] {
    return Call(gateway.port(), http::verb::get, "/readyz").result_int();
  };
  CHECK(RefusalOf(ask().body()) == "503 not_run");
  CHECK(ready() == 503);
  CHECK(gateway.ApplyConfig(ConfigOf(fakes)));
  CHECK(RefusalOf(ask().body()) == "501 not_run");
  CHECK(ready() == 503);
  gateway.ExtendLease(TimePoint::max());
  CHECK(ask().result_int() == 200);
  CHECK(ready() == 200);
  CHECK_FALSE(gateway.ApplyConfig(ConfigOf(fakes)));
  gateway.Shutdown();
  CHECK(gateway.Wait());
}

TEST_CASE("gateway reports an address in use") {
  Fakes fakes;
  Running running(fakes);
  GatewayOptions options = TestOptions();
  options.port_ = running.gateway_.port();
  Gateway second(options, {});
  Error error;
  CHECK_FALSE(second.Start(&error));
  CHECK(error.message_.find("can't listen on 127.0.0.1:") == 0);
}

TEST_CASE("gateway serves a request with the configuration it started with") {
  Fakes fakes;
  Running running(fakes);
  fakes.SetFault("retrievers", R"({"hold": true})");
  auto answered =
      std::async(std::launch::async, [&] { return running.Ask("old?"); });
  REQUIRE(Eventually([&] { return fakes.Calls("retrievers") == 1; }));
  ClusterConfig bare;
  bare.version_ = 8;
  bare.accounts_ = ConfigOf(fakes)->accounts_;
  bare.classes_ = ConfigOf(fakes)->classes_;
  CHECK(running.gateway_.ApplyConfig(std::make_shared<ClusterConfig>(bare)));
  CHECK(RefusalOf(running.Ask("new?").body()) == "102 not_run");
  fakes.SetFault("retrievers", R"({"hold": false})");
  const Response response = answered.get();
  REQUIRE(response.result_int() == 200);
  CHECK(response["X-Config-Version"] == "7");
  CHECK(TextOf(response) == AnswerTo("old?"));
}

TEST_CASE("gateway that shuts down") {
  Fakes fakes;
  Running running(fakes);
  fakes.SetFault("engines", R"({"hold": true, "hold_at": 4})");
  auto streamed = std::async(std::launch::async, [&] {
    return running.Post("/v1/pipelines/ask",
                        R"({"input": "long", "stream": true})");
  });
  REQUIRE(Eventually([&] { return fakes.Calls("engines") == 1; }));
  running.gateway_.Shutdown();
  SECTION("is not ready, refuses new requests and aborts none") {
    CHECK_FALSE(running.gateway_.ready());
    REQUIRE(Eventually([&] {
      const Response refused = running.Post("/v1/pipelines/none", "{}");
      return refused.result_int() == 503 &&
             RefusalOf(refused.body()) == "701 not_run";
    }));
  }
  fakes.SetFault("engines", R"({"hold": false})");
  const Response response = streamed.get();
  CHECK(response.find("X-Test-Cut") == response.end());
  CHECK(EventsOf(response.body()).back() == "[DONE]");
  CHECK(running.gateway_.Wait());
}

TEST_CASE("gateway cancels the stage calls of a caller that disconnected") {
  Fakes fakes;
  std::atomic<int> gone{0};
  GatewayHooks hooks;
  hooks.events_.on_request_ = [&](const RequestSummary& summary) {
    gone += summary.reason_ == RefusalReason::kCallerGone ? 1 : 0;
  };
  Running running(fakes, hooks);
  fakes.SetFault("engines", R"({"hold": true, "hold_at": 1})");
  {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(
        {asio::ip::make_address("127.0.0.1"), running.gateway_.port()});
    asio::write(socket, asio::buffer(std::string(
                            "POST /v1/pipelines/ask HTTP/1.1\r\nHost: x\r\n"
                            "Authorization: Bearer key-1\r\n"
                            "Content-Length: 14\r\n\r\n{\"input\": \"x\"}")));
    REQUIRE(Eventually([&] { return fakes.Calls("engines") == 1; }));
  }
  CHECK(Eventually([&] { return gone == 1; }));
  CHECK(Eventually([&] { return running.gateway_.requests_in_flight() == 0; }));
}

TEST_CASE("gateway that can't listen") {
  Gateway first(TestOptions(), {});
  Error error;
  REQUIRE(first.Start(&error));
  GatewayOptions options = TestOptions();
  options.port_ = first.port();
  {
    Gateway second(options, {});
    CHECK_FALSE(second.Start(&error));
    CHECK(error.message_.find("can't listen") == 0);
  }
  first.Shutdown();
  CHECK(first.Wait());
}

TEST_CASE("gateway aborts requests at the drain limit") {
  Fakes fakes;
  GatewayOptions options = TestOptions();
  options.drain_limit_ = std::chrono::milliseconds(1);
  std::future<Response> asked;
  {
    Running running(fakes, {}, options);
    fakes.SetFault("engines", R"({"hold": true, "hold_at": 1})");
    const uint16_t port = running.gateway_.port();
    asked = std::async(std::launch::async, [port] {
      return Call(port, http::verb::post, "/v1/pipelines/ask",
                  R"({"input": "x"})", key_header);
    });
    REQUIRE(Eventually([&] { return fakes.Calls("engines") == 1; }));
    running.gateway_.Shutdown();
    CHECK_FALSE(running.gateway_.Wait());
  }
  // The caller's connection is closed when the gateway is destroyed.
  CHECK(asked.get().count("X-Test-Cut") == 1);
}

TEST_CASE("gateway's refusals") {
  Fakes fakes;
  std::mutex mutex;
  std::vector<RefusalEntry> journal;
  std::vector<std::string> lines;
  GatewayHooks hooks;
  hooks.report_refusals_ = [&](const std::vector<RefusalEntry>& batch,
                               uint64_t) {
    const std::lock_guard lock(mutex);
    journal.insert(journal.end(), batch.begin(), batch.end());
    return true;
  };
  hooks.log_ = [&](std::string_view line) {
    const std::lock_guard lock(mutex);
    lines.emplace_back(line);
  };
  {
    Running running(fakes, hooks);
    fakes.SetFault("encoders", R"({"fail": 99})");
    const JsonValue problem = Json(running.Ask("secret text").body());
    running.gateway_.Shutdown();
    running.gateway_.Wait();
    REQUIRE(journal.size() == 1);
    const RefusalEntry& entry = journal.front();
    SECTION("reach the journal and can be verified by their receipt") {
      CHECK(problem.Find("refusal_id")->AsString() == entry.id_);
      CHECK(problem.Find("receipt")->AsString() ==
            SignReceipt(entry, "receipt"));
      RefusalEntry changed = entry;
      changed.verdict_ = Verdict::kNotRun;
      CHECK(SignReceipt(changed, "receipt") !=
            problem.Find("receipt")->AsString());
    }
    SECTION("are one log line each, without the caller's text") {
      size_t found = 0;
      for (const std::string& line : lines) {
        found += line.find(entry.id_) != std::string::npos ? 1 : 0;
        CHECK(line.find("secret") == std::string::npos);
        CHECK(line.find("key-1") == std::string::npos);
      }
      CHECK(found == 1);
    }
  }
}

}  // namespace citronlane
