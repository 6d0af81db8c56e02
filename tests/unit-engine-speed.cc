#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <random>

#include "citronlane/routing/engine_speed.h"
#include "citronlane/routing/pool_pace.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An engine that ends some ten requests a second, whose times scatter by half.
class Observed {
 public:
  void Run(Duration time, double factor) {
    for (const TimePoint end = now_ + time; now_ < end;
         now_ += milliseconds(100)) {
      speed_.Add(now_, factor * std::exp(scatter_(random_)), 1);
    }
  }
  double Factor() const { return speed_.TimeFactor(now_); }

  EngineSpeed speed_;
  TimePoint now_;

 private:
  std::mt19937 random_{7};
  static constexpr double kDeviation = 0.4;
  /// Their mean is 1.
  std::normal_distribution<double> scatter_{-kDeviation * kDeviation / 2,
                                            kDeviation};
};

}  // namespace

TEST_CASE("lasting differences of speed are told from spells") {
  Observed engine;

  SECTION("a server nobody knows has its pool's speed") {
    CHECK(engine.Factor() == 1);
    engine.speed_.Add(engine.now_, 3, 1);
    CHECK(engine.Factor() == 1);
  }

  SECTION("servers of 0.7 and 1.7 are known within five seconds") {
    const double factor = GENERATE(0.7, 1.7);
    engine.Run(seconds(5), factor);
    CHECK(engine.Factor() == Approx(factor).epsilon(0.25));
  }

  SECTION("a server that is like its pool counts exactly so") {
    engine.Run(seconds(60), 1);
    CHECK(engine.Factor() == 1);
  }

  SECTION("a spell of half a second undoes nothing") {
    const double factor = GENERATE(0.7, 1.0, 1.7);
    engine.Run(seconds(10), factor);
    const double before = engine.Factor();
    engine.Run(milliseconds(500), 4 * factor);
    CHECK(engine.Factor() == Approx(before).epsilon(0.25));
    engine.Run(seconds(4), factor);
    CHECK(engine.Factor() == Approx(before).epsilon(0.25));
  }

  SECTION("spells that come again and again undo nothing") {
    for (int i = 0; i < 10; ++i) {
      engine.Run(milliseconds(2500), 0.7);
      engine.Run(milliseconds(500), 2);
    }
    CHECK(engine.Factor() == Approx(0.7).epsilon(0.25));
  }

  SECTION("a lasting change is known within five seconds") {
    engine.Run(seconds(30), 0.7);
    engine.Run(seconds(5), 1.7);
    CHECK(engine.Factor() == Approx(1.7).epsilon(0.25));
  }

  SECTION("a server that gets no requests is tried again") {
    engine.Run(seconds(10), 4);
    CHECK(engine.Factor() > 2);
    engine.now_ += seconds(61);
    CHECK(engine.Factor() == 1);
    engine.Run(milliseconds(300), 0.9);
    CHECK(engine.Factor() == 1);
  }

  SECTION("figures that make no sense are ignored or bounded") {
    const double infinite = std::numeric_limits<double>::infinity();
    for (const double bad : {0.0, -1.0, infinite, std::nan("")}) {
      engine.speed_.Add(engine.now_, bad, 1);
      engine.speed_.Add(engine.now_, 1, bad);
    }
    CHECK_FALSE(engine.speed_.IsKnown(engine.now_));
    engine.Run(seconds(10), 1e6);
    CHECK(engine.Factor() <= 8);
  }

  SECTION("time that goes backward takes nothing away") {
    engine.Run(seconds(10), 1.7);
    const double before = engine.Factor();
    engine.now_ -= seconds(5);
    engine.speed_.Add(engine.now_, 1.7, 1);
    CHECK(engine.Factor() == Approx(before).epsilon(0.25));
  }
}

TEST_CASE("a pool's pace is learned from its requests") {
  PoolPace pace;

  SECTION("nothing is expected before there are samples") {
    CHECK_FALSE(pace.Expected(100));
    CHECK_FALSE(pace.PerUnit());
  }

  SECTION("a constant part and a part by work") {
    for (int i = 0; i < 2000; ++i) {
      pace.Add(i % 100, 0.05 + 0.01 * (i % 100));
    }
    CHECK(*pace.Expected(200) == Approx(2.05).epsilon(0.02));
    CHECK(*pace.PerUnit() == Approx(0.01).epsilon(0.02));
  }

  SECTION("work that is always the same") {
    for (int i = 0; i < 100; ++i) {
      pace.Add(50, 0.3);
    }
    CHECK(*pace.Expected(50) == Approx(0.3));
  }

  SECTION("a few that hang move it little") {
    for (int i = 0; i < 2000; ++i) {
      pace.Add(i % 100, i % 100 == 3 ? 60 : 0.05 + 0.01 * (i % 100));
    }
    CHECK(*pace.Expected(50) == Approx(0.55).epsilon(0.2));
  }

  SECTION("a change of the whole pool is followed") {
    for (int i = 0; i < 4000; ++i) {
      pace.Add(i % 100, (i < 2000 ? 1 : 3) * (0.05 + 0.01 * (i % 100)));
    }
    CHECK(*pace.Expected(50) == Approx(1.65).epsilon(0.1));
  }

  SECTION("figures that make no sense are ignored") {
    const double infinite = std::numeric_limits<double>::infinity();
    for (int i = 0; i < 100; ++i) {
      for (const double bad : {-1.0, infinite, 1e300, std::nan("")}) {
        pace.Add(bad, 1);
        pace.Add(1, bad);
      }
      pace.Add(1, 0);
    }
    CHECK_FALSE(pace.Expected(1));
  }
}

}  // namespace citronlane
