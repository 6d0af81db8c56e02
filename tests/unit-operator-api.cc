#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/operator_api.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/state/fleet_state.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_request.h"
#include "platform/dialect.h"

namespace citronlane {
namespace {

/// The exchange of one call; runs the event loop while the handler waits.
class Exchange : public HttpExchange {
 public:
  explicit Exchange(boost::asio::io_context* io) : io_(*io) {}

  bool Reply(const HttpReply& reply) override {
    reply_ = reply;
    return !is_gone_;
  }
  bool StartStream(const HttpReply& /*head*/) override { return false; }
  bool Write(std::string_view /*bytes*/) override { return false; }
  bool EndStream() override { return false; }
  void Abort() override {}
  void Wait() override {
    while (!is_notified_ && io_.run_one() > 0) {
    }
    is_notified_ = false;
  }
  void Notify() override { is_notified_ = true; }
  bool caller_gone() const override { return is_gone_; }

  /// The event loop finds the connection closed in its next turn.
  void Close() {
    boost::asio::post(io_, [this] {
      is_gone_ = true;
      Notify();
    });
  }
  int status() const { return reply_ ? reply_->status_ : 0; }

 private:
  boost::asio::io_context& io_;
  std::optional<HttpReply> reply_;
  bool is_notified_ = false;
  bool is_gone_ = false;
};

/// The operators' API of a leader whose log commits each order at once.
class Leader {
 public:
  int Order(const std::string& path, bool is_closed = false) {
    Exchange exchange(&io_);
    if (is_closed) {
      exchange.Close();
    }
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = path;
    io_.restart();
    api_.Serve(request, &exchange);
    return exchange.status();
  }
  int Drain(const std::string& domain) {
    return Order("/v1/evacuations/" + domain + "/start");
  }
  int EndDrain(const std::string& domain) {
    return Order("/v1/evacuations/" + domain + "/finish");
  }

  const FleetState& state() const { return state_; }
  const OperatorApi& api() const { return api_; }
  int proposals() const { return proposals_; }

 private:
  OperatorApi::Hooks MakeHooks() {
    OperatorApi::Hooks hooks;
    hooks.leads_ = [] { return true; };
    hooks.has_servers_ = [](const std::string& domain) {
      return domain == "north-a" || domain == "north-b";
    };
    hooks.set_drained_ = [this](const std::string& domain, bool is_drained,
                                const ConfigProposer::Done& done) {
      ++proposals_;
      state_.Apply(DrainedDomains::Command(domain, is_drained));
      done(true, "");
    };
    return hooks;
  }

  boost::asio::io_context io_;
  const Dialect dialect_ = platform::MakeDialect();
  FleetState state_;
  EventLog log_{"control",
                {[](std::string_view) { return true; }, SteadyNow,
                 [] { return int64_t{0}; }}};
  int proposals_ = 0;
  OperatorApi api_{&io_, &dialect_, &state_, &log_, MakeHooks()};
};

}  // namespace

TEST_CASE("orders to drain failure domains") {
  Leader leader;
  const auto drained = [&leader] { return leader.state().drained().names(); };

  SECTION("hold until they are taken back, however often they come") {
    for (int i = 0; i < 3; ++i) {
      CHECK(leader.Drain("north-a") == 200);
      CHECK(drained().count("north-a") == 1);
    }
    for (int i = 0; i < 3; ++i) {
      CHECK(leader.EndDrain("north-a") == 200);
      CHECK(drained().empty());
    }
  }
  SECTION("of a domain without servers are carried out and counted") {
    CHECK(leader.Drain("north-a") == 200);
    CHECK(leader.api().unknown_domain_orders() == 0);
    CHECK(leader.Drain("south-z") == 200);
    CHECK(leader.Drain("south-z") == 200);
    CHECK(leader.api().unknown_domain_orders() == 2);
    CHECK(drained().size() == 2);
    CHECK(leader.EndDrain("south-z") == 200);
    CHECK(drained().size() == 1);
  }
  SECTION("beyond the maximum are refused, and their ends are not") {
    for (int i = 0; i < 64; ++i) {
      REQUIRE(leader.Drain("d" + std::to_string(i)) == 200);
    }
    CHECK(leader.Drain("north-b") == 400);
    CHECK(drained().size() == 64);
    CHECK(leader.EndDrain("north-b") == 200);
    CHECK(leader.EndDrain("d7") == 200);
    CHECK(leader.Drain("north-b") == 200);
  }
  SECTION("of what can't be a name are refused and change nothing") {
    const std::string too_long(65, 'a');
    for (const std::string& name :
         {std::string("a%20b"), std::string("%2e"), std::string(), too_long}) {
      CAPTURE(name);
      CHECK(leader.Drain(name) == 400);
      CHECK(leader.EndDrain(name) == 400);
    }
    CHECK(leader.Order("/v1/evacuations/north-a/pause") == 404);
    CHECK(leader.Order("/v1/evacuations/north-a/start/start") == 404);
    CHECK(leader.proposals() == 0);
  }
  // It may be older than orders that were acknowledged since.
  SECTION("change nothing if their connection was closed on the way") {
    CHECK(leader.Drain("north-a") == 200);
    CHECK(leader.EndDrain("north-a") == 200);
    CHECK(leader.Order("/v1/evacuations/north-a/start", true) == 503);
    CHECK(leader.proposals() == 2);
    CHECK(drained().empty());
  }
}

}  // namespace citronlane
