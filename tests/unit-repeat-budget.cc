#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/pool_repeat_budget.h"
#include "citronlane/routing/repeat_budget.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
constexpr TimePoint kBegin{seconds(100)};

/// What all gateways together sent.
struct Sent {
  std::vector<TimePoint> first_;
  std::vector<TimePoint> repeats_;
};

/// How gateways run: how many there are, and when which of them end and start
/// again without what they remembered.
struct Fleet {
  size_t gateways_ = 8;
  double requests_per_second_ = 30;
  /// Called each step; whether the gateway restarts now.
  std::function<bool(size_t gateway, TimePoint now)> restarts_;
};

RepeatBudget::Options Options() {
  RepeatBudget::Options options;
  options.ratio_ = 0.2;
  options.extra_ = 56;
  return options;
}

// Servers refuse all requests from the 20th second on: each gateway repeats as
// often as it may.
Sent RunWhileServersRefuse(const Fleet& fleet, uint32_t seed) {
  std::mt19937 random(seed);
  std::vector<std::unique_ptr<RepeatBudget>> budgets(fleet.gateways_);
  for (auto& budget : budgets) {
    budget = std::make_unique<RepeatBudget>(Options(), kBegin);
  }
  const double chance =
      fleet.requests_per_second_ * std::chrono::duration<double>(kStep).count();
  std::poisson_distribution<int> arrivals(chance);
  Sent sent;
  for (TimePoint now = kBegin; now < kBegin + seconds(70); now += kStep) {
    for (size_t gateway = 0; gateway < fleet.gateways_; ++gateway) {
      if (fleet.restarts_(gateway, now)) {
        budgets[gateway] = std::make_unique<RepeatBudget>(Options(), now);
      }
    }
    for (int i = arrivals(random); i > 0; --i) {
      budgets[random() % fleet.gateways_]->OnFirstSend(now);
      sent.first_.push_back(now);
    }
    if (now < kBegin + seconds(20)) {
      continue;
    }
    for (const auto& budget : budgets) {
      while (budget->TryTake(now, fleet.gateways_)) {
        sent.repeats_.push_back(now);
      }
    }
  }
  return sent;
}

double CountIn(const std::vector<TimePoint>& times, TimePoint from) {
  const auto begin = std::lower_bound(times.begin(), times.end(), from);
  const auto end =
      std::lower_bound(times.begin(), times.end(), from + Options().window_);
  return static_cast<double>(end - begin);
}

// The most by which the repeats of a window exceed the bound of all gateways.
// Requests are counted in that window, the one before it or the one half a
// window before it, whichever has most.
double LargestExcess(const Sent& sent) {
  const Duration window = Options().window_;
  double largest = 0;
  for (const TimePoint from : sent.repeats_) {
    const double requests = std::max({CountIn(sent.first_, from),
                                      CountIn(sent.first_, from - window / 2),
                                      CountIn(sent.first_, from - window)});
    largest =
        std::max(largest, CountIn(sent.repeats_, from) -
                              Options().ratio_ * requests - Options().extra_);
  }
  return largest;
}

}  // namespace

// Gateways that restarted began with their whole allowance each time, so that a
// window held as many allowances as restarts.
TEST_CASE("repeats stay within the fleet's bound while gateways restart") {
  const uint32_t seed = GENERATE(range(1U, 6U));
  const double per_second = GENERATE(5.0, 30.0, 400.0, 3000.0);
  CAPTURE(seed, per_second);
  Fleet fleet;
  fleet.requests_per_second_ = per_second;

  SECTION("all at once, again and again") {
    const auto every = milliseconds(GENERATE(1500, 2500, 4000, 9500));
    CAPTURE(every.count());
    fleet.restarts_ = [&](size_t, TimePoint now) {
      return now > kBegin + seconds(20) &&
             (now - kBegin) % Duration(every) < kStep;
    };
    CHECK(LargestExcess(RunWhileServersRefuse(fleet, seed)) <= 0);
  }

  SECTION("in turn") {
    fleet.restarts_ = [&](size_t gateway, TimePoint now) {
      const auto step = (now - kBegin) / milliseconds(400);
      return (now - kBegin) % Duration(milliseconds(400)) < kStep &&
             step % fleet.gateways_ == gateway;
    };
    CHECK(LargestExcess(RunWhileServersRefuse(fleet, seed)) <= 0);
  }

  SECTION("at random") {
    std::mt19937 random(seed);
    fleet.gateways_ = GENERATE(2, 8, 60);
    fleet.restarts_ = [&](size_t, TimePoint) { return random() % 800 == 0; };
    CHECK(LargestExcess(RunWhileServersRefuse(fleet, seed)) <= 0);
  }
}

// Gateways that own a pool in turn each had its whole allowance, and had it
// again when the pool came back.
TEST_CASE("repeats stay within a pool's bound while it changes owners") {
  const uint32_t seed = GENERATE(range(1U, 6U));
  const Duration term = milliseconds(GENERATE(800, 2500, 4000, 12000));
  const double per_second = GENERATE(5.0, 30.0, 400.0);
  CAPTURE(seed, term.count(), per_second);
  constexpr size_t kGateways = 4;
  // Gateways learn of a new owner at different times.
  constexpr Duration kLongestDelay = milliseconds(600);
  const PoolPartition pool("ranker");
  std::mt19937 random(seed);
  std::vector<FleetView> views(kGateways);
  std::vector<PoolRepeatBudget> budgets;
  for (size_t i = 0; i < kGateways; ++i) {
    budgets.emplace_back(pool, std::to_string(i), Options(), &views[i], kBegin);
  }
  std::vector<Duration> delays(kGateways);
  std::poisson_distribution<int> arrivals(
      per_second * std::chrono::duration<double>(kStep).count());
  Sent sent;
  for (TimePoint now = kBegin; now < kBegin + seconds(90); now += kStep) {
    for (Duration& delay : delays) {
      if ((now - kBegin) % term < kStep) {
        delay = Duration(random() % kLongestDelay.count());
      }
    }
    const auto number = static_cast<uint64_t>((now - kBegin) / term) + 1;
    const size_t owner = number % kGateways;
    for (size_t i = 0; i < kGateways; ++i) {
      if ((now - kBegin) % term >= delays[i]) {
        views[i].SetOwners(number, {{pool, std::to_string(owner)}});
      }
      budgets[i].Tick(now);
    }
    for (int i = arrivals(random); i > 0; --i) {
      // Some callers send their tasks to a gateway that is not the owner.
      const size_t gateway = random() % 20 == 0 ? random() % kGateways : owner;
      budgets[gateway].OnFirstSend(now);
      sent.first_.push_back(now);
    }
    for (PoolRepeatBudget& budget : budgets) {
      while (budget.TryTake(now)) {
        sent.repeats_.push_back(now);
      }
    }
  }
  CHECK(LargestExcess(sent) <= 0);
}

TEST_CASE("a gateway's budget on repeats grows with the time it has counted") {
  RepeatBudget budget(Options(), kBegin);
  const auto taken = [&](TimePoint now) {
    int count = 0;
    while (budget.TryTake(now, 2)) {
      ++count;
    }
    return count;
  };

  SECTION("none of the allowance before a whole window has passed") {
    CHECK(taken(kBegin + seconds(9)) == 0);
    CHECK(taken(kBegin + seconds(10)) == 21);
  }

  SECTION("some repeats for its own requests from the start") {
    for (int i = 0; i < 100; ++i) {
      budget.OnFirstSend(kBegin + seconds(1));
    }
    CHECK(taken(kBegin + seconds(1)) == 5);
    CHECK(taken(kBegin + seconds(10)) == 31);
  }
}

}  // namespace citronlane
