#include "gateway_harness.h"

namespace citronlane {

TEST_CASE("gateway answers") {
  Fakes fakes;
  Running running(fakes);

  SECTION("a pipeline request with a complete response and cost by stage") {
    const Response response = running.Ask("which cotton?");
    CHECK(response.result_int() == 200);
    CHECK(response["X-Config-Version"] == "7");
    CHECK(response["X-Cost-By-Stage"] ==
          "encode;cost=1;calls=1, retrieve;cost=2;calls=1, "
          "rerank;cost=3;calls=1, generate;cost=8;calls=1");
    CHECK(TextOf(response) == AnswerTo("which cotton?"));
  }

  SECTION("a chat as a stream that ends cleanly") {
    const Response response = running.Post("/v1/chat/completions",
                                           R"({"model": "ask", "stream": true,
            "messages": [{"role": "user", "content": "colourfast?"}]})");
    const auto events = EventsOf(response.body());
    REQUIRE(events.size() == 10);
    CHECK(events.back() == "[DONE]");
    std::string text;
    for (size_t i = 0; i < 8; ++i) {
      const JsonValue event = Json(events[i]);
      const JsonValue& choice = event.Find("choices")->items()[0];
      text += choice.Find("delta")->Find("content")->AsString();
    }
    CHECK(text == AnswerTo("colourfast?"));
    const JsonValue last = Json(events[8]);
    CHECK(last.Find("citronlane")->Find("cost_by_stage")->Find("generate"));
    CHECK(response.find("X-Test-Cut") == response.end());
  }

  SECTION("health checks; a request for a draining server is refused") {
    CHECK(Call(running.gateway_.port(), http::verb::get, "/healthz")
              .result_int() == 200);
    CHECK(Call(running.gateway_.port(), http::verb::get, "/readyz")
              .result_int() == 200);
    running.gateway_.OnServerLeaving("ret1", 1);
    const Response response = running.Ask("gone?");
    CHECK(RefusalOf(response.body()) == "403 not_run");
  }
}

TEST_CASE("gateway refuses invalid requests and runs nothing of them") {
  Fakes fakes;
  Running running(fakes);
  const std::string good = R"({"input": "x"})";
  struct Case {
    std::string target_;
    std::string body_;
    Headers headers_;
    int status_;
    std::string refusal_;
  };
  const std::vector<Case> cases = {
      {"/v1/pipelines/ask", "{\"input\": ", {}, 400, "101 not_run"},
      {"/v1/pipelines/ask", R"({"input": 7})", {}, 400, "101 not_run"},
      {"/v1/pipelines/ask",
       R"({"input": "x", "stream": "yes"})",
       {},
       400,
       "101 not_run"},
      {"/v1/pipelines/none", good, {}, 404, "102 not_run"},
      {"/v1/else", good, {}, 404, "108 not_run"},
      {"/v1/pipelines/ask", good, {{"X-Class", "no"}}, 400, "103 not_run"},
      {"/v1/pipelines/ask", good, {{"X-Class", "night"}}, 403, "202 not_run"},
      {"/v1/pipelines/ask",
       good,
       {{"Authorization", "Bearer key-1"}},
       400,
       "101 not_run"},
      {"/v1/pipelines/order", good, {}, 400, "107 not_run"},
      {"/v1/pipelines/order",
       good,
       {{"Idempotency-Key", "k"}},
       503,
       "502 not_run"},
      {"/services/till/orders", good, {}, 400, "107 not_run"},
      {"/v1/chat/completions",
       R"({"model": "ask", "messages": []})",
       {},
       400,
       "101 not_run"},
      {"/v1/pipelines/ask", std::string(1 << 21, 'x'), {}, 413, "104 not_run"},
  };
  for (const Case& each : cases) {
    INFO(each.target_ << " " << each.body_.substr(0, 40));
    const Response response =
        running.Post(each.target_, each.body_, each.headers_);
    CHECK(static_cast<int>(response.result_int()) == each.status_);
    CHECK(RefusalOf(response.body()) == each.refusal_);
  }
  CHECK(
      Call(running.gateway_.port(), http::verb::post, "/v1/pipelines/ask", good)
          .result_int() == 401);
  for (const char* pool : {"encoders", "engines", "tills"}) {
    CHECK(fakes.Calls(pool) == 0);
  }
}

TEST_CASE("gateway closes or refuses broken HTTP") {
  Fakes fakes;
  Running running(fakes);
  const std::string head = "POST /v1/pipelines/ask HTTP/1.1\r\nHost: x\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"nonsense\r\n\r\n", "400"},
      {head + "Content-Length: 5\r\nContent-Length: 9\r\n\r\nabcde", "400"},
      {head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nabcde",
       "400"},
      {head + "X-Flood: " + std::string(40000, 'x') + "\r\n\r\n", "431"},
      {head + "Content-Length: 99999999999\r\n\r\n", "413"},
  };
  for (const auto& [text, status] : cases) {
    INFO(text.substr(0, 120));
    CHECK(SendRaw(running.gateway_.port(), text).substr(9, 3) == status);
  }
  CHECK(running.Ask("still here?").result_int() == 200);
}

TEST_CASE("gateway bounds the requests it holds at once") {
  Fakes fakes;
  GatewayOptions options = TestOptions();
  options.http_limits_.body_bytes_ = 1000;
  options.http_limits_.memory_bytes_ = 1500;
  Running running(fakes, {}, options);
  // A parsed head may take a multiple of its bytes, so that there is memory for
  // one of this size.
  const std::string head =
      "POST /v1/pipelines/ask HTTP/1.1\r\nHost: x\r\nX-Fill: " +
      std::string(16000, 'x') + "\r\nContent-Length: 900\r\n";
  asio::io_context io;
  tcp::socket slow(io);
  slow.connect({asio::ip::make_address("127.0.0.1"), running.gateway_.port()});
  asio::write(slow, asio::buffer(head + "Expect: 100-continue\r\n\r\n"));
  char byte = 0;
  asio::read(slow, asio::buffer(&byte, 1));  // its bytes are reserved
  // As much of the body as keeps the caller from counting as stalled.
  asio::write(slow, asio::buffer(std::string(899, 'x')));
  const std::string refused = SendRaw(running.gateway_.port(), head + "\r\n");
  CHECK(refused.find("body_memory_exhausted") != std::string::npos);
  slow.close();
  CHECK(Eventually([&] { return running.Ask("again").result_int() == 200; }));
}

TEST_CASE("gateway recovers from failing backend servers") {
  Fakes fakes;
  GatewayOptions options = TestOptions();
  options.retry_budget_ = 10;
  Running running(fakes, {}, options);
  struct Case {
    std::string server_;
    std::string fault_;
  };
  const std::vector<Case> cases = {
      {"*", R"({"close_after_read": 1})"},
      {"*", R"({"close_before_run": 1})"},
      {"*", R"({"wrong_id": 1})"},
      {"encoders", R"({"garbage": 1})"},
      {"encoders", R"({"oversize": 1})"},
      {"*", R"({"reject": 1})"},
      {"*", R"({"fail": 1})"},
      {"engines", R"({"cut_stream": 1, "cut_at": 3})"},
      {"engines", R"({"cut_stream": 2, "cut_at": 5})"},
      {"eng1", R"({"hold": true, "hold_at": 3})"},
      {"eng2", R"({"hold": true, "hold_at": 4})"},
      {"enc1", R"({"stop": true})"},
  };
  int question = 0;
  for (const Case& each : cases) {
    INFO(each.server_ << " " << each.fault_);
    fakes.SetFault(each.server_, each.fault_);
    const std::string text = "question " + std::to_string(++question);
    const Response response = running.Ask(text);
    INFO(response.body());
    CHECK(response.result_int() == 200);
    if (response.result_int() == 200) {
      CHECK(TextOf(response) == AnswerTo(text));
    }
    fakes.SetFault("*", R"({"reset": true})");
  }
}

TEST_CASE("gateway ends a stream that can't be completed with an error") {
  Fakes fakes;
  Running running(fakes);
  fakes.SetFault("engines", R"({"cut_stream": 99, "cut_at": 3})");
  const Response response =
      running.Post("/v1/pipelines/ask", R"({"input": "cut", "stream": true})");
  CHECK(response.find("X-Test-Cut") != response.end());
  CHECK(response.body().find("event: error") != std::string::npos);
  CHECK(response.body().find("[DONE]") == std::string::npos);
  CHECK(RefusalOf(EventsOf(response.body()).back()) == "404 ran");
}

}  // namespace citronlane
