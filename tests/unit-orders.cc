#include <algorithm>
#include <map>
#include <random>

#include <catch2/catch.hpp>

#include "citronlane/orders/fencing_counter.h"
#include "citronlane/orders/order_book.h"
#include "citronlane/orders/order_gate.h"

namespace citronlane {
namespace {

TimePoint At(int64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

bool Submit(OrderBook* book,
            const std::string& id,
            const std::string& server,
            wire::EngineOrder::Kind kind = wire::EngineOrder::LOAD_MODEL) {
  wire::SubmitOrder command;
  command.set_max_orders(8);
  command.mutable_order()->set_order_id(id);
  command.mutable_order()->set_server(server);
  command.mutable_order()->set_kind(kind);
  return book->Submit(command);
}

wire::StartOrder Start(const std::string& id, uint64_t number) {
  wire::StartOrder command;
  command.set_order_id(id);
  command.set_fencing_number(number);
  command.set_interval_ms(1000);
  command.set_burst(2);
  return command;
}

wire::FinishOrder Finish(const std::string& id, uint64_t number, bool done) {
  wire::FinishOrder command;
  command.set_order_id(id);
  command.set_fencing_number(number);
  command.set_done(done);
  return command;
}

// An engine that executes orders as they arrive.
struct Engine {
  bool checks_fencing_ = false;
  uint64_t highest_ = 0;
  bool executed_old_ = false;

  void OnOrder(uint64_t number) {
    if (number < highest_ && !checks_fencing_) {
      executed_old_ = true;
    }
    highest_ = std::max(highest_, number);
  }
};

// Simulates a sequence of leaders, each of which sends while it assumes to
// lead, on connections that are open as long as its gate allows. Returns
// whether an order with an old number was executed after a newer one.
bool ExecutesOldAfterNew(uint32_t seed,
                         bool checks_fencing,
                         const OrderGateOptions& options) {
  std::mt19937 random(seed);
  const auto below = [&random](int64_t limit) {
    return static_cast<int64_t>(random() % limit);
  };
  const OrderGateOptions real;
  Engine engine;
  engine.checks_fencing_ = checks_fencing;
  std::multimap<int64_t, uint64_t> arrivals;
  int64_t now = 0;
  for (uint64_t number = 1; number <= 8; ++number) {
    OrderGate gate(options);
    gate.OnLeadershipGained(number, At(now));
    const int64_t start = now;
    const int64_t term_end = now + below(6000);
    for (now = start; now < term_end; now += 1 + below(100)) {
      if (gate.MayPropose(checks_fencing, At(now))) {
        const int64_t sent = now + below(500);
        const auto until =
            gate.SendUntil(number, At(now), At(sent), sent < term_end);
        if (until) {
          // Bytes on a connection arrive before it is closed. An engine that
          // checks fencing numbers may receive them at any time.
          const auto last =
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  until->time_since_epoch());
          const int64_t window = std::max<int64_t>(1, last.count() - sent);
          arrivals.emplace(sent + below(checks_fencing ? 20000 : window),
                           number);
        }
      }
    }
    // The next leader is elected once the lease of this one has expired.
    now = term_end + std::chrono::duration_cast<std::chrono::milliseconds>(
                         real.leader_lease_)
                         .count();
  }
  for (const auto& arrival : arrivals) {
    engine.OnOrder(arrival.second);
  }
  return engine.executed_old_;
}

}  // namespace

TEST_CASE("fencing numbers") {
  FencingCounter counter;
  CHECK(counter.Take(1, 5) == 1);
  CHECK(counter.Take(1, 5) == 1);
  CHECK(counter.Take(2, 7) == 2);
  CHECK(counter.Take(1, 6) == 0);
  CHECK(counter.Take(3, 7) == 0);
  CHECK(counter.present() == 2);
}

TEST_CASE("order book") {
  OrderBook book;
  REQUIRE(Submit(&book, "a", "s1"));
  REQUIRE(Submit(&book, "b", "s1"));
  REQUIRE(Submit(&book, "c", "s2"));
  REQUIRE(Submit(&book, "d", "s3"));
  REQUIRE(Submit(&book, "e", "s4", wire::EngineOrder::CHANGE_ROLE));

  SECTION("starts one order at a time for each server, in their order") {
    REQUIRE(book.Start(1000, 1, Start("a", 1)));
    CHECK_FALSE(book.Start(1000, 1, Start("b", 1)));
    CHECK_FALSE(book.Start(1000, 1, Start("a", 1)));
    REQUIRE(book.Finish(Finish("a", 1, true)));
    CHECK(book.Start(5000, 1, Start("b", 1)));
  }
  SECTION("refuses an old fencing number") {
    CHECK_FALSE(book.Start(1000, 2, Start("a", 1)));
    REQUIRE(book.Start(1000, 1, Start("a", 1)));
    REQUIRE(book.Start(9000, 2, Start("a", 2)));
    CHECK_FALSE(book.Finish(Finish("a", 1, true)));
    CHECK(book.Find("a")->phase() == wire::EngineOrder::STARTED);
    CHECK(book.Finish(Finish("a", 2, true)));
  }
  SECTION("limits the rate of weight store reads, also across leaders") {
    REQUIRE(book.Start(1000, 1, Start("a", 1)));
    REQUIRE(book.Start(1000, 1, Start("c", 1)));
    const auto any = [](const wire::EngineOrder&) { return true; };
    CHECK(book.Next(1000, 1, Start("", 1), any)->order_id() == "e");
    CHECK_FALSE(book.Start(1999, 2, Start("d", 2)));
    CHECK(book.Start(1999, 2, Start("e", 2)));
    wire::OrderSnapshot snapshot;
    book.Save(&snapshot);
    OrderBook next;
    next.Load(snapshot);
    CHECK_FALSE(next.Start(1999, 2, Start("d", 2)));
    CHECK(next.Start(2000, 2, Start("d", 2)));
  }
  SECTION("starts no weight store read with a burst of 0") {
    wire::StartOrder none = Start("a", 1);
    none.set_burst(0);
    CHECK_FALSE(book.Start(1000, 1, none));
  }
  SECTION("keeps the first order of an id and the bound of orders") {
    REQUIRE(Submit(&book, "a", "s9"));
    CHECK(book.Find("a")->server() == "s1");
    REQUIRE(Submit(&book, "f", "s6"));
    REQUIRE(Submit(&book, "g", "s7"));
    REQUIRE(Submit(&book, "h", "s8"));
    CHECK_FALSE(Submit(&book, "i", "s9"));
    book.Start(1000, 1, Start("c", 1));
    book.Finish(Finish("c", 1, false));
    CHECK(book.Find("c")->phase() == wire::EngineOrder::FAILED);
    CHECK(Submit(&book, "i", "s9"));
    CHECK(book.Find("c") == nullptr);
  }
}

TEST_CASE("order gate") {
  OrderGate gate{OrderGateOptions()};
  gate.OnLeadershipGained(3, At(1000));

  SECTION("an order needs its number, the lease and its validity") {
    CHECK(gate.SendUntil(3, At(5000), At(5100), true) == At(7000));
    CHECK_FALSE(gate.SendUntil(2, At(5000), At(5100), true));
    CHECK_FALSE(gate.SendUntil(3, At(5000), At(5100), false));
    CHECK_FALSE(gate.SendUntil(3, At(5000), At(7000), true));
    gate.OnLeadershipLost();
    CHECK_FALSE(gate.SendUntil(3, At(5000), At(5100), true));
  }
  SECTION("a new leader waits for engines that do not check the number") {
    CHECK(gate.MayPropose(true, At(1000)));
    CHECK_FALSE(gate.MayPropose(false, At(1000 + 2250)));
    CHECK(gate.MayPropose(false, At(1000 + 2295)));
  }
  SECTION("an order with an old number is never executed after a newer one") {
    for (uint32_t seed = 0; seed < 10000; ++seed) {
      INFO("seed " << seed);
      REQUIRE_FALSE(ExecutesOldAfterNew(seed, false, OrderGateOptions()));
      REQUIRE_FALSE(ExecutesOldAfterNew(seed, true, OrderGateOptions()));
    }
  }
  SECTION("the simulation detects a leader that does not wait long enough") {
    OrderGateOptions too_short;
    too_short.leader_lease_ = std::chrono::milliseconds(-1900);
    bool detected = false;
    for (uint32_t seed = 0; seed < 200 && !detected; ++seed) {
      detected = ExecutesOldAfterNew(seed, false, too_short);
    }
    CHECK(detected);
  }
}

}  // namespace citronlane
