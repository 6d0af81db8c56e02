// Guards against cold servers that get more requests in a second than they
// tolerate, from all gateways together.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "citronlane/routing/cold_servers.h"
#include "citronlane/routing/server_limits.h"
#include "support/call_windows.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Scope = ServerLimits::Scope;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr char kServer[] = "s";

BackendServer Listed(const std::string& id) {
  BackendServer server;
  server.id_ = id;
  server.service_ = "models";
  return server;
}

/// Requests that a cold server may get within any second.
double Allowed(double per_second) {
  return 1.5 * per_second + 5;
}

struct Scenario {
  size_t gateways_ = 1;
  double per_second_ = 10;
  /// The first gateway is the placement owner; the others send some calls
  /// without it. Else all gateways decide alone.
  bool has_owner_ = false;
  /// The owner takes slots for requests whose stages last up to this.
  Duration stages_{};
};

/// All gateways press calls on one server, which is cold all the time.
std::vector<TimePoint> Press(const Scenario& scenario, uint32_t seed) {
  std::mt19937 random(seed);
  std::deque<ServerLimits> gateways;
  for (size_t i = 0; i < scenario.gateways_; ++i) {
    gateways.emplace_back("10.0.0." + std::to_string(i) + ":7");
    // They learn of it at different times.
    const TimePoint told = kStart + milliseconds(random() % 500);
    gateways.back().SetCold(
        std::vector<ColdServer>{
            {kServer, scenario.per_second_, kStart + seconds(60)}},
        told);
  }
  std::vector<TimePoint> calls;
  std::vector<TimePoint> reserved;
  for (TimePoint now = kStart + milliseconds(500); now < kStart + seconds(20);
       now += milliseconds(5)) {
    ServerLimits& owner = gateways.front();
    for (ServerLimits& gateway : gateways) {
      const bool is_owner = scenario.has_owner_ && &gateway == &owner;
      const Scope scope = !scenario.has_owner_ ? Scope::kShare
                          : is_owner           ? Scope::kOwner
                                               : Scope::kShareBesideOwner;
      if (!gateway.MayCall(kServer, scope, gateways.size(), now)) {
        continue;
      }
      if (is_owner && scenario.stages_ > Duration()) {
        gateway.Reserve(kServer, now);
        reserved.push_back(now + milliseconds(random() % (scenario.stages_ /
                                                          milliseconds(1))));
      } else {
        gateway.OnCall(kServer, now);
        calls.push_back(now);
      }
    }
    const auto due =
        std::partition(reserved.begin(), reserved.end(),
                       [now](TimePoint time) { return time > now; });
    for (auto it = due; it != reserved.end(); ++it) {
      if (owner.MayCallReserved(kServer, now)) {
        owner.OnReservedCall(kServer, now);
        calls.push_back(now);
      }
    }
    reserved.erase(due, reserved.end());
  }
  return calls;
}

}  // namespace

TEST_CASE("a cold server in a fleet") {
  for (const size_t gateways : {1, 6, 18, 89, 360}) {
    for (const double per_second : {0.5, 2.0, 10.0, 40.0}) {
      for (const int kind : {0, 1, 2}) {
        Scenario scenario;
        scenario.gateways_ = gateways;
        scenario.per_second_ = per_second;
        scenario.has_owner_ = kind > 0;
        scenario.stages_ = kind == 2 ? seconds(3) : Duration();
        for (uint32_t seed = 1; seed <= 4; ++seed) {
          INFO(gateways << " gateways, " << per_second << " a second, kind "
                        << kind << ", seed " << seed);
          const auto calls = Press(scenario, seed);
          CHECK(static_cast<double>(MostInAWindow(calls, seconds(1))) <=
                Allowed(per_second));
          // It still takes part of the load.
          CHECK(static_cast<double>(calls.size()) >= 0.4 * per_second * 19 - 3);
        }
      }
    }
  }
}

TEST_CASE("limits of a server that is cold") {
  ServerLimits limits("gateway");
  const std::vector<ColdServer> cold = {{kServer, 10, kStart + seconds(3)}};
  limits.SetCold(cold, kStart);

  SECTION("end with its cold time") {
    CHECK(limits.IsLimited(kServer, kStart + seconds(2)));
    CHECK(limits.CountCold(kStart + seconds(2)) == 1);
    CHECK_FALSE(limits.IsLimited(kServer, kStart + seconds(3)));
    CHECK(limits.MayCall(kServer, Scope::kOwner, 1, kStart + seconds(3)));
  }
  SECTION("end when a list calls it warm") {
    limits.SetCold({}, kStart + seconds(1));
    CHECK_FALSE(limits.IsLimited(kServer, kStart + seconds(1)));
  }
  SECTION("are not reported as named by the server") {
    CHECK(limits.CountLimited() == 0);
    CHECK(limits.RecordedSince(0).empty());
    CHECK_FALSE(limits.Observe({kServer, std::nullopt, kStart + seconds(1)}));
    CHECK(limits.RecordedSince(0).empty());
    CHECK(limits.IsLimited(kServer, kStart + seconds(2)));
  }
  SECTION("that are huge hold no request back") {
    const double highest = 1e6;
    limits.SetCold({{kServer, highest, kStart + seconds(3)}}, kStart);
    for (int i = 1; i < 1000; ++i) {
      const TimePoint now = kStart + milliseconds(i);
      REQUIRE(limits.MayCall(kServer, Scope::kOwner, 1, now));
      limits.OnCall(kServer, now);
    }
  }
  SECTION("stay below the limit that it names") {
    limits.Observe({kServer, 1, kStart});
    size_t calls = 0;
    for (TimePoint now = kStart; now < kStart + seconds(3);
         now += milliseconds(5)) {
      if (limits.MayCall(kServer, Scope::kOwner, 1, now)) {
        limits.OnCall(kServer, now);
        ++calls;
      }
    }
    CHECK(calls <= 4);
    // What it names holds on after its cold time.
    CHECK(limits.IsLimited(kServer, kStart + seconds(4)));
  }
}

TEST_CASE("cold servers are known from server lists") {
  const ColdServerSpec declared{seconds(3), 10};
  const ColdServers::SpecHook spec = [&declared](const std::string& service) {
    return service == "models" ? &declared : nullptr;
  };
  ColdServers known;
  std::vector<BackendServer> servers = {Listed("a"), Listed("b")};
  CHECK(known.Update(servers, spec, kStart).empty());

  SECTION("that call them cold, until they no longer do") {
    servers[1].is_cold_ = true;
    auto cold = known.Update(servers, spec, kStart + seconds(1));
    REQUIRE(cold.size() == 1);
    CHECK(cold[0].server_ == "b");
    CHECK(cold[0].per_second_ == 10);
    servers[1].is_cold_ = false;
    CHECK(known.Update(servers, spec, kStart + seconds(2)).empty());
  }
  SECTION("also if the first list calls them cold") {
    ColdServers other;
    servers[0].is_cold_ = true;
    CHECK(other.Update(servers, spec, kStart).size() == 1);
  }
  SECTION(
      "that list them for the first time, before the list calls them cold") {
    servers.push_back(Listed("c"));
    const auto cold = known.Update(servers, spec, kStart + seconds(1));
    REQUIRE(cold.size() == 1);
    CHECK(cold[0].server_ == "c");
    CHECK(cold[0].until_ == kStart + seconds(4));
    CHECK(known.Update(servers, spec, kStart + seconds(4)).empty());
  }
  SECTION("as they take work again") {
    servers[0].leaving_ = true;
    CHECK(known.Update(servers, spec, kStart + seconds(1)).empty());
    servers[0].leaving_ = false;
    const auto cold = known.Update(servers, spec, kStart + seconds(9));
    REQUIRE(cold.size() == 1);
    CHECK(cold[0].server_ == "a");
    CHECK(cold[0].until_ == kStart + seconds(12));
  }
  SECTION("for a bounded time when no more lists come") {
    servers[0].is_cold_ = true;
    CHECK(known.Update(servers, spec, kStart + seconds(1)).size() == 1);
    CHECK(known.Update(servers, spec, kStart + seconds(8)).empty());
  }
  SECTION("for a bounded time when lists call them cold for good") {
    servers[0].is_cold_ = true;
    for (int i = 1; i < 6; ++i) {
      CHECK(known.Update(servers, spec, kStart + seconds(i)).size() == 1);
    }
    for (int i = 7; i < 20; ++i) {
      CHECK(known.Update(servers, spec, kStart + seconds(i)).empty());
    }
  }
  SECTION("only of services that declare what they tolerate") {
    servers.push_back(Listed("d"));
    servers.back().service_ = "desk";
    servers.back().is_cold_ = true;
    CHECK(known.Update(servers, spec, kStart + seconds(1)).empty());
  }
}

}  // namespace citronlane
