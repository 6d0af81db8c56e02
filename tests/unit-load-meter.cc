#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

#include "citronlane/fleet/gateway_load.h"
#include "citronlane/fleet/load_meter.h"

namespace citronlane {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{50};
constexpr GatewayCapacity kSmall{0.1, 1e6};

/// A gateway whose loop ticks, and what it uses meanwhile.
class Loop {
 public:
  explicit Loop(GatewayCapacity capacity) : meter_(capacity, kTick) {}

  /// Ticks for `time`, each one late by `lag`, while the process uses `cores`
  /// and transfers `bytes` a second.
  void Run(milliseconds time, milliseconds lag, double cores, double bytes) {
    for (const TimePoint until = now_ + time; now_ < until;) {
      const Duration step = kTick + lag;
      now_ += step;
      const double passed = std::chrono::duration<double>(step).count();
      processor_ += microseconds(std::llround(passed * cores * 1e6));
      bytes_ += static_cast<uint64_t>(passed * bytes);
      meter_.Sample(now_, has_clock_ ? processor_ : Duration(), bytes_);
    }
  }
  const GatewayLoad& load() const { return meter_.load(); }

  bool has_clock_ = true;

 private:
  TimePoint now_{seconds(100)};
  Duration processor_{seconds(5)};
  uint64_t bytes_ = 1000;
  LoadMeter meter_;
};

}  // namespace

TEST_CASE("load of a gateway") {
  Loop loop(kSmall);
  loop.Run(seconds(4), milliseconds(0), 0.03, 2e5);
  CHECK(loop.load().processor_use_ == Approx(0.3).epsilon(0.05));
  CHECK(loop.load().link_use_ == Approx(0.2).epsilon(0.05));
  CHECK(loop.load().loop_lag_ == Duration());

  SECTION("follows a burst within two seconds") {
    loop.Run(seconds(2), milliseconds(100), 0.1, 9e5);
    CHECK(loop.load().processor_use_ >= 0.9);
    CHECK(loop.load().link_use_ >= 0.8);
    CHECK(loop.load().loop_lag_ == milliseconds(100));
  }
  SECTION("shows a loop that is always late within 1.5 s") {
    loop.Run(milliseconds(1500), milliseconds(200), 0.1, 2e5);
    CHECK(loop.load().loop_lag_ == milliseconds(200));
  }
  // A VM that was paused is not one that is overloaded.
  SECTION("does not take one long pause for a late loop") {
    loop.Run(milliseconds(1), seconds(3), 0, 0);
    for (int i = 0; i < 20; ++i) {
      loop.Run(milliseconds(250), milliseconds(0), 0.03, 2e5);
      CHECK(loop.load().loop_lag_ == Duration());
    }
  }
  SECTION("has no processor use while the clock says nothing") {
    loop.has_clock_ = false;
    loop.Run(seconds(4), milliseconds(70), 0.1, 2e5);
    CHECK(loop.load().processor_use_ == 0);
    CHECK(loop.load().loop_lag_ == milliseconds(70));
  }
  // Some platforms let the processor clock run while the process waits.
  SECTION("has no processor use once the clock was seen to count waits") {
    loop.Run(seconds(3), milliseconds(1), 1, 2e5);
    CHECK(loop.load().processor_use_ == 0);
    loop.Run(seconds(3), milliseconds(70), 1, 2e5);
    CHECK(loop.load().processor_use_ == 0);
    CHECK(loop.load().loop_lag_ == milliseconds(70));
  }
  SECTION("is that of a loop that uses a whole core and is late") {
    loop.Run(seconds(3), milliseconds(70), 1, 2e5);
    CHECK(loop.load().processor_use_ == Approx(10).epsilon(0.05));
  }
}

TEST_CASE("a VM of unknown capacity has a lag only") {
  Loop loop{GatewayCapacity()};
  loop.Run(seconds(4), milliseconds(70), 0.1, 2e5);
  CHECK(loop.load().processor_use_ == 0);
  CHECK(loop.load().link_use_ == 0);
  CHECK(loop.load().loop_lag_ == milliseconds(70));
}

TEST_CASE("loads that peers report") {
  const double infinity = std::numeric_limits<double>::infinity();
  for (const double wrong : {std::nan(""), infinity, -infinity, -0.5}) {
    CHECK_FALSE(IsKnown(UsableLoad(wrong, wrong, 0)));
    CHECK(UsableLoad(wrong, 0.4, 0).link_use_ == 0.4);
  }
  CHECK_FALSE(IsKnown(UsableLoad(0, 0, 0)));
  CHECK(UsableLoad(1e300, 0, 0).processor_use_ <= 100);
  CHECK(UsableLoad(0, 0, std::numeric_limits<uint64_t>::max()).loop_lag_ <=
        std::chrono::hours(1));
}

}  // namespace citronlane
