// Guards against gateways that together send a server more than it has said it
// takes: each for itself within the limit, or all at once after a pause.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/routing/server_limits.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Scope = ServerLimits::Scope;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr char kServer[] = "s";
constexpr Duration kWindow = seconds(4);

ServerLimit Limit(std::optional<double> per_second, TimePoint at) {
  return {kServer, per_second, at};
}

// How many requests a server may get within any window.
double Allowed(double per_second) {
  return 1.5 * per_second * 4 + 5;
}

size_t MostInAWindow(std::vector<TimePoint> calls) {
  std::sort(calls.begin(), calls.end());
  size_t most = 0;
  for (auto first = calls.begin(); first != calls.end(); ++first) {
    const auto last = std::lower_bound(first, calls.end(), *first + kWindow);
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

/// Gateways that call one server whenever they may.
class LimitedFleet {
 public:
  /// All gateways learn of the limit within the first second.
  LimitedFleet(size_t gateways, double per_second, uint32_t seed)
      : random_(seed) {
    for (size_t i = 0; i < gateways; ++i) {
      gateways_.emplace_back("10.0.0." + std::to_string(i) + ":7");
      const milliseconds told(random_() % 1000);
      gateways_.back().Observe(Limit(per_second, kStart + told));
    }
  }

  /// Each gateway has a request every `interval` or so, from `from` to `until`
  /// after the start.
  void Run(Scope scope, Duration interval, Duration from, Duration until) {
    constexpr Duration kStep = milliseconds(5);
    const auto steps = static_cast<uint32_t>(interval / kStep);
    for (TimePoint now = kStart + from; now < kStart + until; now += kStep) {
      for (ServerLimits& gateway : gateways_) {
        if (random_() % steps == 0 &&
            gateway.MayCall(kServer, scope, gateways_.size(), now)) {
          gateway.OnCall(kServer, now);
          calls_.push_back(now);
        }
      }
    }
  }

  /// The first gateway is the placement owner; all others make some calls
  /// without it.
  void RunWithOwner(Duration until) {
    constexpr Duration kStep = milliseconds(5);
    for (TimePoint now = kStart + seconds(1); now < kStart + until;
         now += kStep) {
      for (ServerLimits& gateway : gateways_) {
        const Scope scope = &gateway == &gateways_.front()
                                ? Scope::kOwner
                                : Scope::kShareBesideOwner;
        if (gateway.MayCall(kServer, scope, gateways_.size(), now)) {
          gateway.OnCall(kServer, now);
          calls_.push_back(now);
        }
      }
    }
  }

  std::vector<TimePoint> calls_;

 private:
  std::mt19937 random_;
  std::vector<ServerLimits> gateways_;
};

}  // namespace

TEST_CASE("a limit shared by many gateways") {
  for (const size_t gateways : {1, 3, 6, 18, 89, 360}) {
    for (const double per_second : {0.5, 1.0, 2.5, 10.0, 60.0}) {
      for (uint32_t seed = 1; seed <= 5; ++seed) {
        INFO(gateways << " gateways, " << per_second << " a second, seed "
                      << seed);
        const auto most = [](const LimitedFleet& fleet) {
          return static_cast<double>(MostInAWindow(fleet.calls_));
        };
        LimitedFleet busy(gateways, per_second, seed);
        busy.Run(Scope::kShare, milliseconds(10), seconds(1), seconds(30));
        CHECK(most(busy) <= Allowed(per_second));
        // The server is used: at least half of what it takes.
        CHECK(static_cast<double>(busy.calls_.size()) >=
              0.5 * per_second * 29 - 2);

        // All callers pause and return together.
        LimitedFleet pausing(gateways, per_second, seed);
        pausing.Run(Scope::kShare, milliseconds(10), seconds(1), seconds(3));
        pausing.Run(Scope::kShare, milliseconds(10), seconds(60), seconds(70));
        CHECK(most(pausing) <= Allowed(per_second));

        LimitedFleet placed(gateways, per_second, seed);
        placed.RunWithOwner(seconds(30));
        CHECK(most(placed) <= Allowed(per_second));
      }
    }
  }
}

TEST_CASE("what a server says of its limit") {
  ServerLimits limits("gateway");
  const auto may_call = [&limits](TimePoint now) {
    return limits.MayCall(kServer, Scope::kOwner, 1, now);
  };

  SECTION("a server without a limit gets every call") {
    CHECK_FALSE(limits.Observe(Limit(std::nullopt, kStart)));
    for (int i = 0; i < 100; ++i) {
      CHECK(may_call(kStart));
      limits.OnCall(kServer, kStart);
    }
    CHECK(limits.CountLimited() == 0);
  }
  SECTION("a limit begins with nothing saved up") {
    CHECK(limits.Observe(Limit(1, kStart)));
    CHECK_FALSE(may_call(kStart));
    CHECK(limits.CountLimited() == 1);
    CHECK(limits.Exhausted(Scope::kOwner, 1, kStart) ==
          std::vector<std::string>{kServer});
  }
  SECTION("a limit ends with a reply that names none") {
    limits.Observe(Limit(1, kStart));
    CHECK(limits.Observe(Limit(std::nullopt, kStart + seconds(1))));
    CHECK(may_call(kStart + seconds(1)));
    CHECK(limits.CountLimited() == 0);
    // The others are told of the end, too.
    const auto told = limits.RecordedSince(1);
    REQUIRE(told.size() == 1);
    CHECK_FALSE(told[0].per_second_);
  }
  SECTION("of two observations the later one counts") {
    limits.Observe(Limit(1, kStart + seconds(1)));
    CHECK_FALSE(limits.Observe(Limit(std::nullopt, kStart)));
    CHECK_FALSE(limits.Observe(Limit(5, kStart + seconds(1))));
    CHECK(limits.CountLimited() == 1);
    CHECK(limits.Observe(Limit(5, kStart + seconds(2))));
  }
  SECTION("a server that takes nothing is still asked now and then") {
    limits.Observe(Limit(0, kStart));
    int calls = 0;
    for (TimePoint now = kStart; now < kStart + std::chrono::minutes(2);
         now += milliseconds(100)) {
      if (may_call(now)) {
        limits.OnCall(kServer, now);
        ++calls;
      }
    }
    CHECK(calls >= 5);
    CHECK(calls <= 12);
  }
  SECTION("a server that is gone is forgotten") {
    limits.Observe(Limit(1, kStart));
    limits.Retain([](std::string_view) { return false; });
    CHECK(limits.CountLimited() == 0);
    CHECK(may_call(kStart));
  }
}

}  // namespace citronlane
