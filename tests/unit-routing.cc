#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "citronlane/config/pool_config.h"
#include "citronlane/routing/pool_router.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr CallShape kCall = {};
constexpr const char* kDomains[] = {"a", "b", "c"};

/// A pool and its router with a simulated clock.
class RouterTest {
 public:
  explicit RouterTest(size_t servers, RouterOptions options = {}) {
    for (size_t i = 0; i < servers; ++i) {
      const std::string id = "s" + std::to_string(i);
      pool_.servers_[id] = {id, "127.0.0.1", 1, kDomains[i % 3]};
    }
    options.failure_domain_ = "a";
    router_ = std::make_unique<PoolRouter>(
        pool_, options, [this](uint64_t bound) { return random_() % bound; });
  }

  std::optional<std::string> Choose(
      const CallShape& call = kCall,
      const std::vector<std::string>& excluded = {}) {
    Error error;
    const auto choice = router_->Choose(now_, call, excluded, &error);
    CHECK((choice || !error.message_.empty()));
    return choice ? std::optional(choice->server_) : std::nullopt;
  }

  void Finish(const std::string& server,
              Duration latency,
              CallOutcome outcome = CallOutcome::kSuccess,
              const CallShape& call = kCall) {
    router_->OnFinish(server, now_, outcome, latency, 0, call);
  }

  /// Makes `calls` calls one after the other; `end` returns how each ends.
  /// Returns the number of calls by server.
  using End = std::function<std::pair<CallOutcome, Duration>(std::string)>;
  std::map<std::string, int> Run(int calls,
                                 const End& end,
                                 const CallShape& call = kCall) {
    std::map<std::string, int> counts;
    for (int i = 0; i < calls; ++i) {
      const auto server = Choose(call);
      REQUIRE(server);
      ++counts[*server];
      router_->OnStart(*server, now_, call);
      const auto [outcome, latency] = end(*server);
      now_ += latency;
      Finish(*server, latency, outcome, call);
    }
    return counts;
  }

  /// Starts one call at each server of the pool except `excluded`.
  void StartEverywhere(const std::string& excluded) {
    for (const auto& [id, server] : pool_.servers_) {
      if (id != excluded) {
        router_->OnStart(id, now_, kCall);
      }
    }
  }

  std::set<std::string> Chosen(int calls) {
    std::set<std::string> chosen;
    for (int i = 0; i < calls; ++i) {
      if (const auto server = Choose()) {
        chosen.insert(*server);
      }
    }
    return chosen;
  }

  PoolConfig pool_;
  std::mt19937_64 random_{7};
  TimePoint now_{seconds(1000)};
  std::unique_ptr<PoolRouter> router_;
};

RouterOptions AnyDomain() {
  RouterOptions options;
  options.domain_preference_ = false;
  return options;
}

std::pair<CallOutcome, Duration> Healthy(const std::string& /*server*/) {
  return {CallOutcome::kSuccess, milliseconds(10)};
}

}  // namespace

TEST_CASE("choice of a server") {
  SECTION("skips excluded servers") {
    RouterTest test(3);
    CHECK(test.Choose(kCall, {"s0", "s1"}) == "s2");
    CHECK_FALSE(test.Choose(kCall, {"s0", "s1", "s2"}));
  }
  SECTION("spreads over the pool by load, near or far") {
    RouterTest test(6);
    std::map<std::string, int> counts;
    for (int i = 0; i < 60; ++i) {
      const auto server = test.Choose();
      ++counts[*server];
      test.router_->OnStart(*server, test.now_, kCall);
    }
    CHECK(counts.size() == 6);
    for (const auto& [server, count] : counts) {
      CHECK(count >= 5);
      CHECK(count <= 16);
    }
  }
  SECTION("prefers the near failure domain while load is even") {
    RouterTest test(6);
    const auto counts = test.Run(300, Healthy);
    CHECK(counts.at("s0") + counts.at("s3") > 200);
  }
  SECTION("counts the load that peers and servers report") {
    RouterTest test(2);
    test.router_->OnPeerLoad("g2", "s0", test.now_, 20);
    CHECK(test.Chosen(20) == std::set<std::string>{"s1"});
    test.router_->OnLoadReport("s1", test.now_, milliseconds(10), 40);
    CHECK(test.Chosen(20) == std::set<std::string>{"s0"});
  }
  SECTION("lets an old report decay") {
    RouterTest test(2);
    test.router_->OnLoadReport("s0", test.now_, milliseconds(0), 5);
    test.now_ += seconds(10);
    CHECK(test.Chosen(50).count("s0") == 1);
  }
  SECTION("goes by own calls alone in a pool that reports no load") {
    RouterTest test(3);
    for (int i = 0; i < 5; ++i) {
      test.router_->OnStart("s0", test.now_, kCall);
      test.router_->OnStart("s2", test.now_, kCall);
    }
    CHECK(test.Chosen(50) == std::set<std::string>{"s1"});
  }
}

TEST_CASE("straggler") {
  const auto slow_s1 = [](const std::string& server) {
    const auto latency = milliseconds(server == "s1" ? 100 : 10);
    return std::pair<CallOutcome, Duration>(CallOutcome::kSuccess, latency);
  };
  RouterOptions no_ejection = AnyDomain();
  no_ejection.ejection_ = false;
  SECTION("ten times as slow gets hardly any calls once observed") {
    RouterTest test(6, no_ejection);
    test.Run(100, slow_s1);
    const auto counts = test.Run(200, slow_s1);
    CHECK((counts.count("s1") == 0 || counts.at("s1") < 10));
  }
  SECTION("does not move the hedge delay of its pool") {
    RouterOptions round_robin = no_ejection;
    round_robin.choice_ = RouterOptions::Choice::kRoundRobin;
    RouterTest test(6, round_robin);
    test.Run(400, slow_s1);
    const auto delay = test.router_->HedgeDelay(kCall);
    REQUIRE(delay);
    CHECK(*delay < milliseconds(30));
  }
  SECTION("that hangs is avoided though none of its calls end") {
    RouterTest test(6, no_ejection);
    test.Run(100, Healthy);
    test.router_->OnStart("s1", test.now_, kCall);
    test.now_ += seconds(1);
    test.StartEverywhere("s1");
    CHECK(test.Chosen(100).count("s1") == 0);
  }
}

TEST_CASE("ejection") {
  RouterTest test(10, AnyDomain());
  test.Run(200, Healthy);
  const std::set<std::string> half = {"s0", "s1", "s2", "s3", "s4"};
  const std::set<std::string> rest = {"s5", "s6", "s7", "s8", "s9"};
  /// Three failed calls at each of the servers, then a maintenance run.
  const auto fail = [&](const std::set<std::string>& servers) {
    for (const std::string& server : servers) {
      for (int i = 0; i < 3; ++i) {
        test.router_->OnStart(server, test.now_, kCall);
        test.Finish(server, milliseconds(0), CallOutcome::kConnectFailed);
      }
    }
    test.now_ += seconds(1);
    test.Choose();
  };
  SECTION("excludes a server that fails while its peers do not") {
    fail({"s1"});
    CHECK(test.router_->usable_servers(test.now_) == 9);
    CHECK(test.Chosen(100).count("s1") == 0);
  }
  SECTION("never exceeds the largest fraction of the pool") {
    fail({"s0", "s1", "s2"});
    CHECK(test.router_->usable_servers(test.now_) == 7);
    fail({"s3"});
    CHECK(test.router_->usable_servers(test.now_) == 7);
  }
  SECTION("excludes none when the whole pool fails") {
    std::set<std::string> all = half;
    all.insert(rest.begin(), rest.end());
    fail(all);
    CHECK(test.router_->usable_servers(test.now_) == 10);
  }
  SECTION("reports the pool as down until one call succeeds") {
    fail({"s0", "s1", "s2"});
    CHECK_FALSE(test.router_->IsDown(test.now_));
    fail(rest);
    CHECK(test.router_->IsDown(test.now_));
    test.router_->OnStart("s1", test.now_, kCall);
    test.Finish("s1", milliseconds(0));
    CHECK_FALSE(test.router_->IsDown(test.now_));
  }
  SECTION("sends the work to the half of a pool that is up") {
    fail(half);
    int calls_to_rest = 0;
    for (const auto& [server, count] : test.Run(100, Healthy)) {
      calls_to_rest += rest.count(server) > 0 ? count : 0;
    }
    CHECK(calls_to_rest > 85);
  }
  SECTION("is ignored when every other server is draining") {
    fail({"s1"});
    std::set<std::string> others = half;
    others.insert(rest.begin(), rest.end());
    others.erase("s1");
    for (const std::string& server : others) {
      test.router_->OnLeaving(server, 1, test.now_);
    }
    CHECK(test.Choose() == "s1");
  }
  SECTION("ends with one probe call before the server is used again") {
    fail({"s1"});
    test.now_ += seconds(3);
    test.Choose();
    CHECK(test.router_->usable_servers(test.now_) == 10);
    test.StartEverywhere("");
    CHECK(test.Chosen(200).count("s1") == 0);
    test.now_ += milliseconds(10);
    test.Finish("s1", milliseconds(10));
    test.now_ += seconds(60);
    CHECK(test.Chosen(100).count("s1") == 1);
  }
}

TEST_CASE("leaving servers") {
  RouterTest test(3, AnyDomain());
  test.router_->OnLeaving("s1", 4, test.now_);
  const std::set<std::string> others = {"s0", "s2"};
  CHECK(test.Chosen(50) == others);
  SECTION("are not brought back by an outdated list") {
    test.router_->Update(test.pool_, test.now_);
    CHECK(test.Chosen(50) == others);
    PoolConfig without = test.pool_;
    without.servers_.erase("s1");
    test.router_->Update(without, test.now_);
    test.router_->Update(test.pool_, test.now_);
    CHECK(test.Chosen(50) == others);
  }
  SECTION("are not brought back by a report of the same incarnation") {
    test.router_->OnAlive("s1", 4, test.now_);
    test.router_->OnAlive("s1", 3, test.now_);
    CHECK(test.Chosen(50) == others);
  }
  SECTION("come back with a higher incarnation, by one call first") {
    test.router_->OnAlive("s1", 5, test.now_);
    CHECK(test.Chosen(50).count("s1") == 1);
    test.router_->OnStart("s1", test.now_, kCall);
    CHECK(test.Chosen(50) == others);
    test.Finish("s1", milliseconds(0));
    CHECK(test.Chosen(50).count("s1") == 1);
  }
  // A server's own report has no incarnation. If it were ignored, the server
  // would get new calls until the control VMs report it as well.
  SECTION("are excluded by their own report, whatever incarnation is known") {
    test.router_->OnAlive("s1", 6, test.now_);
    test.router_->OnLeaving("s1", 0, test.now_);
    CHECK(test.Chosen(50) == others);
    test.router_->OnAlive("s1", 6, test.now_);
    CHECK(test.Chosen(50) == others);
    test.router_->OnAlive("s1", 7, test.now_);
    CHECK(test.Chosen(50).count("s1") == 1);
  }
  SECTION("ignore a report about an older incarnation") {
    test.router_->OnAlive("s1", 6, test.now_);
    test.router_->OnLeaving("s1", 5, test.now_);
    CHECK(test.router_->usable_servers(test.now_) == 3);
  }
}

TEST_CASE("prefix affinity") {
  CallShape call;
  call.prefix_hash_ = 0x9e3779b97f4a7c15U;
  SECTION("keeps a prefix at one server while its load is bounded") {
    RouterTest test(6);
    const auto counts = test.Run(60, Healthy, call);
    CHECK(counts.size() == 1);
  }
  SECTION("yields to load") {
    RouterTest test(6);
    const std::string preferred = test.Run(60, Healthy, call).begin()->first;
    for (int i = 0; i < 8; ++i) {
      test.router_->OnStart(preferred, test.now_, call);
    }
    CHECK(test.Choose(call) != preferred);
  }
  SECTION("follows cache events until one is missing") {
    RouterTest test(6);
    const std::string preferred = test.Run(60, Healthy, call).begin()->first;
    const std::string holder = preferred == "s4" ? "s5" : "s4";
    test.router_->OnCacheEvent(holder, 1, call.prefix_hash_, true);
    CHECK(test.Choose(call) == holder);
    SECTION("late ones are ignored") {
      test.router_->OnCacheEvent(holder, 2, 1, true);
      test.router_->OnCacheEvent(holder, 3, 2, true);
      test.router_->OnCacheEvent(holder, 2, call.prefix_hash_, false);
      CHECK(test.Choose(call) == holder);
    }
    SECTION("a gap clears what the server was assumed to hold") {
      test.router_->OnCacheEvent(holder, 3, 1, true);
      CHECK(test.Choose(call) != holder);
    }
  }
}

TEST_CASE("estimates") {
  RouterTest test(4);
  SECTION("are missing until calls were observed") {
    CHECK_FALSE(test.router_->ExpectedFinish(test.now_, kCall));
    CHECK_FALSE(test.router_->HedgeDelay(kCall));
    CHECK_FALSE(test.router_->LatencyQuantile(0.5));
  }
  SECTION("follow the observed latency and the load") {
    test.Run(100, Healthy);
    const auto idle = test.router_->ExpectedFinish(test.now_, kCall);
    REQUIRE(idle);
    CHECK(*idle > milliseconds(8));
    CHECK(*idle < milliseconds(13));
    for (const char* server : {"s0", "s1", "s2", "s3"}) {
      for (int i = 0; i < 3; ++i) {
        test.router_->OnStart(server, test.now_, kCall);
      }
    }
    CHECK(*test.router_->ExpectedFinish(test.now_, kCall) > milliseconds(30));
    CHECK(test.router_->in_flight() == 12);
  }
}

}  // namespace citronlane
