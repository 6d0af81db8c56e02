#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "citronlane/fleet/rendezvous.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/forwarded_headers.h"
#include "citronlane/relay/relay_responses.h"
#include "citronlane/routing/engine_router.h"
#include "citronlane/routing/repeat_budget.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<BackendServer> Engines(size_t count) {
  std::vector<BackendServer> servers;
  servers.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    BackendServer server;
    server.id_ = "e" + std::to_string(i);
    server.name_ = server.id_;
    server.service_ = "m";
    server.address_ = "10.0.0." + std::to_string(i) + ":1";
    server.failure_domain_ = std::string(1, static_cast<char>('a' + i % 3));
    servers.push_back(server);
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

bool HasHeader(const HttpReply& reply, const std::string& name) {
  return std::any_of(
      reply.headers_.begin(), reply.headers_.end(),
      [&](const HttpHeader& header) { return header.name_ == name; });
}

}  // namespace

TEST_CASE("repeat budget") {
  RepeatBudget::Options options;
  options.ratio_ = 0.2;
  options.extra_ = 56;

  SECTION("all gateways together stay below the bound in any window") {
    constexpr size_t kNodes = 8;
    constexpr int kSteps = 6000;
    std::mt19937 random(7);
    std::vector<RepeatBudget> nodes(kNodes, RepeatBudget(options, TimePoint()));
    std::vector<TimePoint> first;
    std::vector<TimePoint> repeats;
    TimePoint now{seconds(100)};
    for (int step = 0; step < kSteps; ++step) {
      now += milliseconds(10);
      // Traffic that stops and returns.
      const bool is_busy = step / 1000 % 2 == 0;
      RepeatBudget& node = nodes[random() % kNodes];
      if (is_busy && random() % 2 == 0) {
        node.OnFirstSend(now);
        first.push_back(now);
      }
      if (node.TryTake(now, kNodes)) {
        repeats.push_back(now);
      }
    }
    for (const TimePoint end : repeats) {
      const TimePoint begin = end - options.window_;
      const auto in = [&](const std::vector<TimePoint>& times, TimePoint from) {
        return std::count_if(times.begin(), times.end(), [&](TimePoint time) {
          return time > from && time <= from + options.window_;
        });
      };
      const auto most =
          std::max(in(first, begin), in(first, begin - options.window_ / 2));
      REQUIRE(static_cast<double>(in(repeats, begin)) <=
              options.ratio_ * static_cast<double>(most) + options.extra_);
    }
    CHECK(repeats.size() > 100);
  }

  SECTION("a gateway's share shrinks with their number") {
    RepeatBudget few(options, TimePoint());
    RepeatBudget many(options, TimePoint());
    const TimePoint now{options.window_};
    int of_few = 0;
    int of_many = 0;
    while (few.TryTake(now, 2)) {
      ++of_few;
    }
    while (many.TryTake(now, 28)) {
      ++of_many;
    }
    CHECK(of_few == 21);
    CHECK(of_many == 1);
  }
}

TEST_CASE("engine router") {
  const auto servers = Engines(12);
  EngineRouter router(seconds(10));
  router.Update(Pointers(servers));
  const TimePoint now{seconds(100)};
  const std::vector<PromptSegment> prompt = {
      {"shared", 2000}, {"session", 4000}, {"own", 2000}};
  EngineRouter::Call call;
  call.prompt_ = prompt;

  SECTION("requests of a session go to one engine from any gateway") {
    EngineRouter other(seconds(10));
    other.Update(Pointers(servers));
    const auto preferred = router.Choose(now, call, {});
    REQUIRE(preferred);
    CHECK(other.Choose(now, call, {}) == preferred);
    std::set<std::string> homes;
    for (int i = 0; i < 200; ++i) {
      const std::vector<PromptSegment> session = {
          {"shared", 2000}, {"s" + std::to_string(i), 4000}, {"own", 2000}};
      EngineRouter::Call one;
      one.prompt_ = session;
      homes.insert(*router.Choose(now, one, {}));
    }
    CHECK(homes.size() == servers.size());
  }

  SECTION("a preferred engine with much to read gets no more") {
    const auto preferred = *router.Choose(now, call, {});
    double tokens = 0;
    for (int i = 0; i < 3; ++i) {
      tokens = router.OnStart(preferred, now, call);
    }
    CHECK(*router.Choose(now, call, {}) != preferred);
    for (int i = 0; i < 3; ++i) {
      router.OnFirstEvent(preferred, tokens);
      router.OnFinish(preferred, now, CallOutcome::kSuccess, 0);
    }
    CHECK(*router.Choose(now, call, {}) == preferred);
  }

  SECTION("an engine that failed is excluded for a while") {
    const auto preferred = *router.Choose(now, call, {});
    router.OnStart(preferred, now, call);
    router.OnFinish(preferred, now, CallOutcome::kConnectFailed, 0);
    CHECK(*router.Choose(now, call, {}) != preferred);
    CHECK(*router.Choose(now + seconds(1), call, {}) == preferred);
  }

  SECTION("one engine is tried even if all have failed") {
    for (const BackendServer& server : servers) {
      router.OnStart(server.id_, now, call);
      router.OnFinish(server.id_, now, CallOutcome::kTimeout, 0);
    }
    CHECK(router.Choose(now, call, {}));
  }

  SECTION("leaving and excluded engines are not chosen") {
    auto changed = servers;
    const auto preferred = *router.Choose(now, call, {});
    for (BackendServer& server : changed) {
      server.leaving_ = server.id_ == preferred;
    }
    router.Update(Pointers(changed));
    CHECK(*router.Choose(now, call, {}) != preferred);
    std::vector<std::string> excluded;
    excluded.reserve(servers.size());
    for (const BackendServer& server : servers) {
      excluded.push_back(server.id_);
    }
    CHECK_FALSE(router.Choose(now, call, excluded));
  }
}

TEST_CASE("rendezvous hashing") {
  const auto preferred = [](int key, int nodes) {
    int best = 0;
    uint64_t highest = 0;
    for (int node = 0; node < nodes; ++node) {
      const uint64_t weight = RendezvousWeight("k" + std::to_string(key),
                                               "n" + std::to_string(node));
      if (weight >= highest) {
        highest = weight;
        best = node;
      }
    }
    return best;
  };
  int moved = 0;
  std::map<int, int> counts;
  for (int key = 0; key < 1000; ++key) {
    ++counts[preferred(key, 10)];
    if (preferred(key, 11) != preferred(key, 10)) {
      CHECK(preferred(key, 11) == 10);
      ++moved;
    }
  }
  CHECK(moved < 150);
  for (const auto& [node, count] : counts) {
    CHECK(count > 50);
  }
}

TEST_CASE("fleet view") {
  FleetView view;
  const TimePoint now{seconds(100)};

  SECTION("an older configuration is never taken") {
    ServingConfig::Parts parts;
    parts.version_ = 5;
    const auto newer = std::make_shared<const ServingConfig>(parts);
    parts.version_ = 4;
    const auto older = std::make_shared<const ServingConfig>(parts);
    CHECK(view.SetConfig(newer));
    CHECK_FALSE(view.SetConfig(older));
    CHECK_FALSE(view.SetConfig(newer));
    CHECK(view.config()->version() == 5);
  }

  SECTION("an older list is never taken") {
    view.SetServers(Engines(3), now);
    view.SetServers(Engines(2), now - seconds(1));
    CHECK(view.ServersOf("m").size() == 3);
    const uint64_t number = view.servers_number();
    view.SetServers(Engines(3), now + seconds(1));
    CHECK(view.servers_number() == number);
    CHECK(*view.ServersAge(now + seconds(3)) == seconds(2));
    view.ConfirmServers(now + seconds(2));
    CHECK(*view.ServersAge(now + seconds(3)) == seconds(1));
    CHECK(view.DomainAt("10.0.0.1:1") == "b");
    CHECK(view.DomainAt("10.0.0.9:1").empty());
  }

  SECTION("servers of a drained failure domain are leaving, in any list") {
    const auto leaving = [&view] {
      size_t leaving = 0;
      for (const BackendServer* server : view.ServersOf("m")) {
        leaving += server->leaving_ && server->failure_domain_ == "b" ? 1 : 0;
        CHECK((server->leaving_ || server->failure_domain_ != "b"));
      }
      return leaving;
    };
    view.SetDrained({"b"});
    view.SetServers(Engines(4), now);
    CHECK(leaving() == 1);
    view.SetServers(Engines(6), now + seconds(1));
    CHECK(leaving() == 2);
    const uint64_t number = view.servers_number();
    view.SetDrained({"b"});
    CHECK(view.servers_number() == number);
    view.SetDrained({});
    CHECK(view.servers_number() > number);
    CHECK_FALSE(view.ServersOf("m")[1]->leaving_);
  }

  SECTION("a restarted server of the same name is another server") {
    auto servers = Engines(2);
    view.SetServers(servers, now);
    servers[0].id_ = "e0@7";
    servers[0].started_ms_ = 7;
    view.SetServers(servers, now + seconds(1));
    CHECK(view.FindServer("e0") == nullptr);
    CHECK(view.FindServer("e0@7")->name_ == "e0");
    CHECK(view.FindServer("e1") != nullptr);
    // A list from before the restart arrives late.
    view.SetServers(Engines(2), now + seconds(2));
    CHECK(view.FindServer("e0") == nullptr);
    CHECK(view.FindServer("e0@7") != nullptr);
    CHECK(view.incarnations().outdated() == 1);
  }

  SECTION("shares never grow when gateways are not listed") {
    CHECK(view.GatewayCount() >= 8);
    view.SetGateways(std::vector<FleetView::Gateway>(6));
    CHECK(view.GatewayCount() == 6);
    view.SetGateways(std::vector<FleetView::Gateway>(2));
    CHECK(view.GatewayCount() == 6);
  }
}

// A burst of requests with long prompts that share segments.
TEST_CASE("engine router that sees all requests") {
  EngineRouter router(seconds(10));
  const auto servers = Engines(6);
  router.Update(Pointers(servers));
  const TimePoint now{seconds(100)};
  const std::vector<PromptSegment> prompt = {{"hot", 4000}, {"own", 2000}};
  EngineRouter::Call call;
  call.prompt_ = prompt;
  call.sees_all_requests_ = true;
  const std::string keeper = *router.Choose(now, call, {});
  REQUIRE(router.OnStart(keeper, now, call) == 6000);
  router.OnFirstEvent(keeper, 6000);

  SECTION("a cached segment is not read again") {
    CHECK(*router.Choose(now, call, {}) == keeper);
    CHECK(router.OnStart(keeper, now, call) == 2000);
  }
  SECTION(
      "a wait below four times the read time is preferred to a read "
      "elsewhere") {
    EngineRouter::Call queue;
    const std::vector<PromptSegment> other = {{"x", 10}, {"own", 1900}};
    queue.prompt_ = other;
    for (int i = 0; i < 9; ++i) {
      router.OnStart(keeper, now, queue);
    }
    CHECK(*router.Choose(now, call, {}) == keeper);
    router.OnStart(keeper, now, queue);
    router.OnStart(keeper, now, queue);
    CHECK(*router.Choose(now, call, {}) != keeper);
  }
  SECTION("but not if it was not used recently") {
    for (int i = 0; i < 5; ++i) {
      router.OnStart(keeper, now, call);
    }
    CHECK(*router.Choose(now + seconds(5), call, {}) == keeper);
    CHECK(*router.Choose(now + seconds(12), call, {}) != keeper);
  }
  SECTION("a long prompt goes where it delays few others") {
    const std::vector<PromptSegment> segments = {{"cold", 0}, {"own", 40000}};
    EngineRouter::Call large;
    large.prompt_ = segments;
    large.sees_all_requests_ = true;
    const std::string preferred = *router.Choose(now, large, {});
    EngineRouter::Call small;
    for (const BackendServer& server : servers) {
      for (int i = 0; i < (server.id_ == preferred ? 3 : 1); ++i) {
        router.OnStart(server.id_, now, small);
      }
    }
    CHECK(*router.Choose(now, large, {}) != preferred);
  }
}

TEST_CASE("a restarted engine has no history") {
  // All requests share one prompt; its preferred engine fails and restarts.
  EngineRouter router(seconds(10));
  auto servers = Engines(3);
  router.Update(Pointers(servers));
  const TimePoint now{seconds(100)};
  const std::vector<PromptSegment> prompt = {{"hot", 4000}, {"own", 10}};
  EngineRouter::Call call;
  call.prompt_ = prompt;
  const std::string preferred = *router.Choose(now, call, {});
  router.OnStart(preferred, now, call);
  router.OnFinish(preferred, now, CallOutcome::kTimeout, 0);
  CHECK(*router.Choose(now, call, {}) != preferred);
  for (BackendServer& server : servers) {
    if (server.id_ == preferred) {
      server.id_ += "@7";
      server.started_ms_ = 7;
    }
  }
  router.Update(Pointers(servers));
  // The suspension of the previous incarnation does not apply to the new one,
  // and a reply to the previous one's call changes nothing.
  std::vector<std::string> others;
  for (const BackendServer& server : servers) {
    if (server.started_ms_ == 0) {
      others.push_back(server.id_);
    }
  }
  CHECK(*router.Choose(now, call, others) == preferred + "@7");
  router.OnFinish(preferred, now, CallOutcome::kTimeout, 0);
  CHECK(router.servers() == 3);
}

TEST_CASE("forwarded headers") {
  const std::vector<HttpHeader> headers = {
      {"Host", "h"},           {"connection", "X-Hop, close"},
      {"X-Hop", "1"},          {"Transfer-Encoding", "chunked"},
      {"Content-Length", "5"}, {"Keep-Alive", "timeout=5"},
      {"TE", "trailers"},      {"Upgrade", "x"},
      {"X-Kept", "1"},         {"Content-Type", "text/plain"}};
  const auto kept = ForwardedHeaders(headers);
  REQUIRE(kept.size() == 2);
  CHECK(kept[0].name_ == "X-Kept");
  CHECK(kept[1].name_ == "Content-Type");
}

TEST_CASE("a refusal promises only what is true") {
  for (const RefusalReason reason :
       {RefusalReason::kNoBackendServer, RefusalReason::kDeadlineUnreachable,
        RefusalReason::kConcurrencyLimit, RefusalReason::kNoConfiguration}) {
    const HttpReply not_run = RefusalReply(reason, Verdict::kNotRun);
    CHECK(not_run.status_ == 503);
    CHECK(HasHeader(not_run, "Retry-After"));
    const HttpReply may_have_run = RefusalReply(reason, Verdict::kMayHaveRun);
    CHECK(may_have_run.status_ == 502);
    CHECK_FALSE(HasHeader(may_have_run, "Retry-After"));
  }
  CHECK(RefusalReply(RefusalReason::kUnknownRoute, Verdict::kNotRun).status_ ==
        404);
  CHECK(
      RefusalReply(RefusalReason::kUnknownAccount, Verdict::kNotRun).status_ ==
      401);
  CHECK(RefusalReply(RefusalReason::kDeadlineExceeded, Verdict::kMayHaveRun)
            .status_ == 504);
}

}  // namespace citronlane
