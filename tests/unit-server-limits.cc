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
#include "support/call_windows.h"

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

  /// The first gateway is the placement owner and takes slots for requests
  /// whose stages last up to `most`; all others make some calls without it.
  void RunWithReservations(Duration most, Duration until) {
    constexpr Duration kStep = milliseconds(5);
    std::vector<TimePoint> reserved;
    ServerLimits& owner = gateways_.front();
    for (TimePoint now = kStart + seconds(1); now < kStart + until;
         now += kStep) {
      if (owner.MayCall(kServer, Scope::kOwner, gateways_.size(), now)) {
        owner.Reserve(kServer, now);
        ++reservations_;
        reserved.push_back(now +
                           milliseconds(random_() % (most / milliseconds(1))));
      }
      for (size_t i = 0; i < reserved.size();) {
        if (reserved[i] > now) {
          ++i;
          continue;
        }
        if (owner.MayCallReserved(kServer, now)) {
          owner.OnReservedCall(kServer, now);
          calls_.push_back(now);
        } else {
          ++in_vain_;
        }
        reserved.erase(reserved.begin() + static_cast<std::ptrdiff_t>(i));
      }
      for (ServerLimits& gateway : gateways_) {
        if (&gateway != &owner &&
            gateway.MayCall(kServer, Scope::kShareBesideOwner, gateways_.size(),
                            now)) {
          gateway.OnCall(kServer, now);
          calls_.push_back(now);
        }
      }
    }
  }

  std::vector<TimePoint> calls_;
  /// Slots taken, and those that could not be used.
  size_t reservations_ = 0;
  size_t in_vain_ = 0;

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
          return static_cast<double>(MostInAWindow(fleet.calls_, kWindow));
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

// Guards against stages that run in vain because the slot that was free when
// the request arrived went to another one.
TEST_CASE("slots that are taken before a request's stages") {
  for (const size_t gateways : {1, 6, 89, 360}) {
    for (const double per_second : {0.5, 1.0, 10.0, 60.0}) {
      for (const Duration most : {milliseconds(800), milliseconds(5000)}) {
        for (uint32_t seed = 1; seed <= 5; ++seed) {
          INFO(gateways << " gateways, " << per_second
                        << " a second, stages of up to "
                        << most / milliseconds(1) << " ms, seed " << seed);
          LimitedFleet fleet(gateways, per_second, seed);
          fleet.RunWithReservations(most, seconds(40));
          CHECK(static_cast<double>(MostInAWindow(fleet.calls_, kWindow)) <=
                Allowed(per_second));
          CHECK(static_cast<double>(fleet.in_vain_) <=
                0.1 * static_cast<double>(fleet.reservations_));
        }
      }
    }
  }

  SECTION("a reserved slot is no longer free and needs no other") {
    ServerLimits limits("gateway");
    limits.Observe(Limit(1, kStart));
    TimePoint now = kStart;
    while (!limits.MayCall(kServer, Scope::kOwner, 1, now)) {
      now += milliseconds(10);
    }
    limits.Reserve(kServer, now);
    CHECK_FALSE(limits.MayCall(kServer, Scope::kOwner, 1, now));
    CHECK(limits.MayCallReserved(kServer, now + milliseconds(700)));
  }
  SECTION("are not needed once the limit has ended") {
    ServerLimits limits("gateway");
    limits.Observe(Limit(1, kStart));
    limits.Observe(Limit(std::nullopt, kStart + seconds(1)));
    CHECK_FALSE(limits.MayCallReserved(kServer, kStart + seconds(2)));
  }
}

// Guards against a limit whose end nobody notices because the server, which was
// slow when it was called last, is never chosen.
TEST_CASE("a limited server that gets no calls") {
  for (const size_t gateways : {1, 3, 89}) {
    INFO(gateways << " gateways");
    std::vector<ServerLimits> fleet;
    for (size_t i = 0; i < gateways; ++i) {
      fleet.emplace_back("10.0.0." + std::to_string(i) + ":7");
      fleet.back().Observe(Limit(2, kStart));
    }
    std::vector<TimePoint> observed;
    for (TimePoint now = kStart; now < kStart + seconds(400);
         now += milliseconds(50)) {
      for (ServerLimits& gateway : fleet) {
        if (!gateway.Unobserved(Scope::kShare, gateways, now).empty()) {
          gateway.OnCall(kServer, now);
          observed.push_back(now);
        }
      }
    }
    // About once a second, and no more than the limit allows.
    CHECK(observed.size() >= 120);
    CHECK(observed.size() <= 400);
    CHECK(static_cast<double>(MostInAWindow(observed, kWindow)) <= Allowed(2));
  }
  SECTION("is not asked while it has no slot or no limit") {
    ServerLimits limits("gateway");
    limits.Observe(Limit(0, kStart));
    TimePoint now = kStart + seconds(2);
    while (limits.MayCall(kServer, Scope::kShare, 1, now)) {
      now += milliseconds(100);
    }
    CHECK(limits.Unobserved(Scope::kShare, 1, now).empty());
    limits.Observe(Limit(std::nullopt, now));
    CHECK(limits.Unobserved(Scope::kShare, 1, kStart + seconds(60)).empty());
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
  SECTION("a limit that nobody reaches holds no call back") {
    limits.Observe(Limit(1e300, kStart));
    for (int i = 1; i < 1000; ++i) {
      const TimePoint now = kStart + milliseconds(i);
      REQUIRE(may_call(now));
      limits.OnCall(kServer, now);
    }
  }
  SECTION("a server that is gone is forgotten") {
    limits.Observe(Limit(1, kStart));
    limits.Retain([](std::string_view) { return false; });
    CHECK(limits.CountLimited() == 0);
    CHECK(may_call(kStart));
  }
}

}  // namespace citronlane
