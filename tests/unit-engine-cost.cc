#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "citronlane/fleet/rendezvous.h"
#include "citronlane/routing/engine_router.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<BackendServer> Engines(int count) {
  std::vector<BackendServer> servers(count);
  for (int i = 0; i < count; ++i) {
    servers[i].id_ = "e" + std::to_string(i);
    servers[i].failure_domain_ = i % 2 == 0 ? "a" : "b";
  }
  return servers;
}

std::vector<const BackendServer*> Pointers(
    const std::vector<BackendServer>& servers) {
  std::vector<const BackendServer*> pointers;
  pointers.reserve(servers.size());
  for (const BackendServer& server : servers) {
    pointers.push_back(&server);
  }
  return pointers;
}

/// The choice by tokens alone: what an engine has to read, and 40 tokens for
/// each request that runs there.
class TokenCounts {
 public:
  struct Engine {
    double running_ = 0;
    double pending_ = 0;
    std::set<std::string> segments_;
  };

  std::string Choose(const EngineRouter::Call& call,
                     const std::vector<BackendServer>& servers) const {
    const std::string& key = call.prompt_.front().id_;
    const double shared = call.prompt_.front().tokens_;
    const double own = call.prompt_.back().tokens_;
    std::map<std::string, const BackendServer*> sorted;
    for (const BackendServer& server : servers) {
      sorted[server.id_] = &server;
    }
    bool is_warm = false;
    std::string preferred;
    for (const auto& [id, server] : sorted) {
      is_warm |=
          engines_.count(id) != 0 && engines_.at(id).segments_.count(key) != 0;
      if (preferred.empty() ||
          RendezvousWeight(key, id) > RendezvousWeight(key, preferred)) {
        preferred = id;
      }
    }
    std::string best;
    double least = 0;
    for (const auto& [id, server] : sorted) {
      const Engine engine =
          engines_.count(id) == 0 ? Engine() : engines_.at(id);
      const bool is_cached = engine.segments_.count(key) != 0;
      const double prefill = own + (is_cached ? 0 : shared);
      const double penalty = is_cached         ? 0
                             : is_warm         ? 4 * shared
                             : id == preferred ? 0
                                               : shared;
      const double fetch =
          server->failure_domain_ == call.near_
              ? 0
              : static_cast<double>(call.input_bytes_) / 1e6 * 150;
      const double length = prefill / 8000;
      const double cost = prefill + penalty + fetch + engine.pending_ +
                          engine.running_ * 40 * (1 + length * length);
      if (best.empty() || cost < least) {
        best = id;
        least = cost;
      }
    }
    return best;
  }

  std::map<std::string, Engine> engines_;
};

}  // namespace

TEST_CASE("with nothing learned, engines are chosen by tokens alone") {
  const auto servers = Engines(20);
  const unsigned seed = GENERATE(1u, 2u, 3u, 4u, 5u);
  std::mt19937 random(seed);
  const auto below = [&random](int limit) {
    return static_cast<int>(random() % limit);
  };
  EngineRouter router(seconds(10));
  router.Update(Pointers(servers));
  router.SetSpec(EngineSpec{4, 50'000});
  TokenCounts reference;
  struct Run {
    EngineRun run_;
    double unread_ = 0;
  };
  std::vector<Run> runs;
  TimePoint now{seconds(100)};
  for (int i = 0; i < 2000; ++i) {
    now += milliseconds(1);
    if (!runs.empty() && below(3) == 0) {
      const size_t at = below(static_cast<int>(runs.size()));
      Run& run = runs[at];
      TokenCounts::Engine& engine = reference.engines_[run.run_.server_];
      if (run.unread_ > 0 && below(2) == 0) {
        router.FirstEvent(&run.run_, now, Duration());
        engine.pending_ -= run.unread_;
        run.unread_ = 0;
        continue;
      }
      router.End(run.run_, now, CallOutcome::kCancelled, EngineOutput());
      engine.pending_ -= run.unread_;
      engine.running_ -= 1;
      runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(at));
      continue;
    }
    const std::vector<PromptSegment> prompt = {
        {"s" + std::to_string(below(8)), 200u + below(6000)},
        {"own", 500u + below(40'000)}};
    EngineRouter::Call call;
    call.prompt_ = prompt;
    call.near_ = below(2) == 0 ? "a" : "b";
    call.input_bytes_ = below(10'000'000);
    call.sees_all_requests_ = true;
    call.route_ = "chat";
    call.account_ = "account";
    const auto chosen = router.Choose(now, call, {});
    REQUIRE(chosen);
    REQUIRE(*chosen == reference.Choose(call, servers));
    Run run;
    run.run_ = router.Begin(*chosen, now, call);
    run.unread_ = run.run_.unread_;
    TokenCounts::Engine& engine = reference.engines_[*chosen];
    engine.pending_ += run.unread_;
    engine.running_ += 1;
    engine.segments_.insert(prompt.front().id_);
    runs.push_back(std::move(run));
  }
}

TEST_CASE("engines that take lastingly longer get less work") {
  const auto servers = Engines(3);
  EngineRouter router(seconds(10));
  router.Update(Pointers(servers));
  TimePoint now{seconds(100)};
  const std::vector<PromptSegment> prompt = {{"own", 2000}};
  EngineRouter::Call call;
  call.prompt_ = prompt;
  call.sees_all_requests_ = true;
  call.route_ = "chat";
  // Requests one after the other at each engine; those of e2 take longer.
  const auto run_for = [&](Duration time, double factor) {
    for (const TimePoint end = now + time; now < end;
         now += milliseconds(100)) {
      for (const BackendServer& server : servers) {
        const double here = server.id_ == "e2" ? factor : 1;
        const auto scaled = [here](int ms) {
          return std::chrono::duration_cast<Duration>(milliseconds(ms) * here);
        };
        EngineRun run = router.Begin(server.id_, now, call);
        router.FirstEvent(&run, now + scaled(50), scaled(50));
        router.End(run, now + scaled(90), CallOutcome::kSuccess,
                   EngineOutput{10, scaled(40)});
      }
    }
  };

  SECTION("a request goes elsewhere even if a little more waits there") {
    run_for(seconds(5), 2.4);
    const EngineRouter::SpeedSpread speeds = router.Speeds(now);
    CHECK(speeds.most_ / speeds.least_ == Approx(2.4).epsilon(0.2));
    const std::vector<PromptSegment> small = {{"small", 500}};
    EngineRouter::Call other = call;
    other.prompt_ = small;
    router.Begin("e0", now, other);
    router.Begin("e1", now, other);
    CHECK(*router.Choose(now, call, {}) != "e2");
    for (int i = 0; i < 8; ++i) {
      router.Begin("e0", now, other);
      router.Begin("e1", now, other);
    }
    CHECK(*router.Choose(now, call, {}) == "e2");
  }

  SECTION("the observer is told of a change once") {
    std::vector<std::string> changed;
    EngineRouter::Observer observer;
    observer.speed_changed_ = [&](const std::string& server, double, double) {
      changed.push_back(server);
    };
    router.SetObserver(observer);
    run_for(seconds(20), 2.4);
    CHECK(std::count(changed.begin(), changed.end(), "e2") >= 1);
    CHECK(changed.size() <= 8);
  }

  SECTION("an engine that starts again under another id is unknown") {
    run_for(seconds(5), 2.4);
    auto next = servers;
    next[2].id_ = "e2+1";
    router.Update(Pointers(next));
    CHECK(router.Speeds(now).most_ < 1.2);
  }

  SECTION("requests that this router does not see teach it nothing") {
    call.sees_all_requests_ = false;
    run_for(seconds(5), 2.4);
    CHECK(router.Speeds(now).most_ == 1);
    CHECK(router.Speeds(now).least_ == 1);
  }
}

TEST_CASE("an engine without room counts the time until it has room") {
  const auto servers = Engines(2);
  EngineRouter router(seconds(10));
  router.Update(Pointers(servers));
  TimePoint now{seconds(100)};
  EngineRouter::Call call;
  call.sees_all_requests_ = true;
  call.route_ = "chat";
  // Teach the pace: prompts of 1,000 to 5,000 tokens at 40 tokens a ms, and 50
  // units of output at 20 ms each.
  for (int i = 0; i < 100; ++i) {
    const uint32_t tokens = 1000 + 100 * (i % 40);
    const std::vector<PromptSegment> prompt = {{"p", tokens}};
    call.prompt_ = prompt;
    now += seconds(16);
    EngineRun run = router.Begin(i % 2 == 0 ? "e0" : "e1", now, call);
    router.FirstEvent(&run, now, milliseconds(tokens / 40));
    router.End(run, now, CallOutcome::kSuccess, EngineOutput{49, seconds(1)});
  }
  const std::vector<PromptSegment> large = {{"large", 40'000}};
  const std::vector<PromptSegment> small = {{"small", 800}};
  const auto begin = [&](const char* server,
                         const std::vector<PromptSegment>& prompt) {
    call.prompt_ = prompt;
    EngineRun run = router.Begin(server, now, call);
    router.FirstEvent(&run, now, Duration());
    return run;
  };

  SECTION("memory") {
    const EngineRun held = begin("e0", large);
    for (int i = 0; i < 4; ++i) {
      begin("e1", small);
    }
    const std::vector<PromptSegment> next = {{"next", 20'000}};
    call.prompt_ = next;
    CHECK(*router.Choose(now, call, {}) == "e0");
    router.SetSpec(EngineSpec{48, 50'000});
    CHECK(*router.Choose(now, call, {}) == "e1");
    router.End(held, now, CallOutcome::kSuccess, EngineOutput{});
    CHECK(*router.Choose(now, call, {}) == "e0");
  }

  SECTION("requests at once") {
    for (int i = 0; i < 4; ++i) {
      begin("e0", small);
    }
    call.prompt_ = small;
    router.Begin("e1", now, call);
    router.Begin("e1", now, call);
    // e1 still has prompts to read, while e0 runs as many as it can.
    CHECK(*router.Choose(now, call, {}) == "e0");
    router.SetSpec(EngineSpec{4, 0});
    CHECK(*router.Choose(now, call, {}) == "e1");
    router.SetSpec(EngineSpec{5, 0});
    CHECK(*router.Choose(now, call, {}) == "e0");
  }
}

}  // namespace citronlane
