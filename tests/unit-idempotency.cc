#include <atomic>
#include <future>
#include <map>
#include <mutex>

#include "gateway_harness.h"

namespace citronlane {
namespace {

/// In-memory replacement for the claims of a control quorum.
class Claims {
 public:
  GatewayHooks Hooks() {
    GatewayHooks hooks;
    hooks.claim_ = [this](const ClaimQuery& query, const auto& done) {
      done(Claim(query));
    };
    hooks.finish_claim_ = [this](const ClaimQuery& query,
                                 const StoredAnswer& answer, const auto& done) {
      const std::lock_guard lock(mutex_);
      Entry& entry = entries_[query.key_];
      entry.answer_.result_ = ClaimAnswer::Result::kFinished;
      entry.answer_.stored_ = answer;
      done(true);
    };
    hooks.release_claim_ = [this](const ClaimQuery& query, const auto& done) {
      const std::lock_guard lock(mutex_);
      entries_.erase(query.key_);
      done(true);
    };
    return hooks;
  }

  void Set(const std::string& key, ClaimAnswer::Result result) {
    const std::lock_guard lock(mutex_);
    entries_[key].answer_.result_ = result;
    fixed_ = true;
  }
  // Simulates a quorum without the capacity to store the answer.
  void DropAnswer(const std::string& key) {
    const std::lock_guard lock(mutex_);
    entries_.at(key).answer_.stored_.body_.clear();
    entries_.at(key).answer_.answer_dropped_ = true;
  }
  bool Holds(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return entries_.count(key) == 1;
  }

 private:
  struct Entry {
    std::string digest_;
    ClaimAnswer answer_;
  };

  ClaimAnswer Claim(const ClaimQuery& query) {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(query.key_);
    ClaimAnswer answer;
    if (found == entries_.end()) {
      entries_[query.key_].digest_ = query.body_digest_;
      entries_[query.key_].answer_.result_ = ClaimAnswer::Result::kRunning;
      answer.result_ = ClaimAnswer::Result::kGranted;
    } else if (!fixed_ && found->second.digest_ != query.body_digest_) {
      answer.result_ = ClaimAnswer::Result::kKeyReused;
    } else {
      answer = found->second.answer_;
    }
    return answer;
  }

  std::mutex mutex_;
  std::map<std::string, Entry> entries_;
  bool fixed_ = false;
};

const std::string order_path = "/v1/pipelines/order";
const std::string order_body = R"({"input": "two metres"})";

Headers Key(const std::string& key) {
  return {{"Idempotency-Key", key}};
}

}  // namespace

TEST_CASE("non-idempotent request") {
  Fakes fakes;
  Claims claims;
  Running running(fakes, claims.Hooks());

  SECTION("runs once; a repetition gets the stored answer") {
    const Response first = running.Post(order_path, order_body, Key("k"));
    CHECK(first.result_int() == 200);
    const Response again = running.Post(order_path, order_body, Key("k"));
    CHECK(again.result_int() == 200);
    CHECK(again["Idempotency-Replayed"] == "true");
    CHECK(again.body() == first.body());
    CHECK(fakes.Calls("engines") == 1);
  }

  SECTION("whose answer was not stored is refused and not run again") {
    running.Post(order_path, order_body, Key("k"));
    claims.DropAnswer("k");
    const Response again = running.Post(order_path, order_body, Key("k"));
    CHECK(RefusalOf(again.body()) == "604 ran");
    CHECK(fakes.Calls("engines") == 1);
  }

  SECTION("streamed: the stored answer holds every event") {
    const std::string body = R"({"input": "two metres", "stream": true})";
    const Response first = running.Post(order_path, body, Key("k"));
    const Response again = running.Post(order_path, body, Key("k"));
    CHECK(EventsOf(first.body()).size() == 10);
    CHECK(again.body() == first.body());
    CHECK(fakes.Calls("engines") == 1);
  }

  SECTION("with the key of another body is refused") {
    running.Post(order_path, order_body, Key("k"));
    const Response other =
        running.Post(order_path, R"({"input": "three metres"})", Key("k"));
    CHECK(RefusalOf(other.body()) == "601 not_run");
  }

  SECTION("is not run twice when the server closes after reading") {
    fakes.SetFault("engines", R"({"close_after_read": 2})");
    const Response first = running.Post(order_path, order_body, Key("k"));
    CHECK(RefusalOf(first.body()) == "402 ran");
    fakes.SetFault("*", R"({"reset": true})");
    const Response again = running.Post(order_path, order_body, Key("k"));
    CHECK(again.body() == first.body());
    CHECK(fakes.Calls("engines") == 1);
  }

  SECTION("releases its key when nothing ran") {
    fakes.SetFault("tills", R"({"reject": 99})");
    const Response refused =
        running.Post("/services/till/orders", "cut", Key("k"));
    CHECK(refused.result_int() == 502);
    CHECK(RefusalOf(refused.body()) == "402 not_run");
    CHECK_FALSE(claims.Holds("k"));
    fakes.SetFault("*", R"({"reset": true})");
    CHECK(running.Post("/services/till/orders", "cut", Key("k")).result_int() ==
          200);
    CHECK(fakes.Calls("tills") == 1);
  }

  SECTION("of a plain service is sent once, whatever happens to the reply") {
    fakes.SetFault("tills", R"({"close_after_read": 2})");
    const Response lost =
        running.Post("/services/till/orders", "cut", Key("k"));
    CHECK(RefusalOf(lost.body()) == "402 may_have_run");
    CHECK(fakes.Calls("tills") == 1);
  }

  SECTION("marked by its header is never hedged or repeated") {
    fakes.SetFault("engines", R"({"cut_stream": 9, "cut_at": 2})");
    Headers headers = Key("k");
    headers.emplace_back("X-Non-Idempotent", "1");
    const Response broken =
        running.Post("/v1/pipelines/ask", order_body, headers);
    CHECK(RefusalOf(broken.body()) == "404 ran");
    CHECK(fakes.Calls("engines") == 1);
  }

  SECTION("whose claim is not granted is refused with the true verdict") {
    using Result = ClaimAnswer::Result;
    const std::vector<std::pair<Result, std::string>> cases = {
        {Result::kUnavailable, "502 not_run"},
        {Result::kRunning, "602 may_have_run"},
        {Result::kOwnerLost, "603 may_have_run"},
    };
    for (const auto& [result, refusal] : cases) {
      claims.Set("k", result);
      const Response response = running.Post(order_path, order_body, Key("k"));
      CHECK(RefusalOf(response.body()) == refusal);
      CHECK(response.count("Retry-After") ==
            (result == Result::kOwnerLost ? 0 : 1));
    }
    CHECK(fakes.Calls("encoders") == 0);
  }
}

TEST_CASE("non-idempotent request whose answer is too large to store") {
  Fakes fakes;
  Claims claims;
  GatewayOptions options = TestOptions();
  options.stored_answer_bytes_ = 16;
  Running running(fakes, claims.Hooks(), options);
  CHECK(running.Post(order_path, order_body, Key("k")).result_int() == 200);
  const Response again = running.Post(order_path, order_body, Key("k"));
  CHECK(RefusalOf(again.body()) == "604 ran");
  CHECK(fakes.Calls("engines") == 1);
}

TEST_CASE("non-idempotent request continues when its caller disconnects") {
  Fakes fakes;
  Claims claims;
  Running running(fakes, claims.Hooks());
  fakes.SetFault("engines", R"({"hold": true, "hold_at": 2})");
  {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(
        {asio::ip::make_address("127.0.0.1"), running.gateway_.port()});
    const std::string text =
        "POST " + order_path +
        " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\n"
        "Idempotency-Key: k\r\nContent-Length: " +
        std::to_string(order_body.size()) + "\r\n\r\n" + order_body;
    asio::write(socket, asio::buffer(text));
    REQUIRE(Eventually([&] { return fakes.Calls("engines") == 1; }));
  }
  fakes.SetFault("engines", R"({"hold": false})");
  REQUIRE(Eventually([&] {
    return running.Post(order_path, order_body, Key("k")).result_int() == 200;
  }));
  CHECK(fakes.Calls("engines") == 1);
}

}  // namespace citronlane
