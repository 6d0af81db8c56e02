#include <catch2/catch.hpp>

#include "citronlane/transport/connection_activity.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Phase = ConnectionActivity::Phase;

constexpr double kBytesPerSecond = 100'000;
constexpr TimePoint kNow(seconds(1000));

ConnectionActivity Since(Phase phase, Duration ago, uint64_t received = 0) {
  return {phase, kNow - ago, received};
}

bool MayLose(const ConnectionActivity& activity,
             PlaceNeeded needed = PlaceNeeded::kConnection) {
  return MayLosePlace(activity, needed, kBytesPerSecond, kNow);
}

bool Before(const ConnectionActivity& first, const ConnectionActivity& second) {
  return LosesPlaceBefore(first, second, kBytesPerSecond, kNow);
}

}  // namespace

TEST_CASE("a connection keeps its place") {
  SECTION("while its request is served") {
    CHECK_FALSE(MayLose(Since(Phase::kServing, seconds(100))));
  }
  SECTION("for a moment after it was accepted or served") {
    CHECK_FALSE(MayLose(Since(Phase::kNew, milliseconds(400))));
    CHECK_FALSE(MayLose(Since(Phase::kIdle, milliseconds(400))));
  }
  SECTION("while its request arrives at the rate that callers must reach") {
    CHECK_FALSE(MayLose(Since(Phase::kReading, seconds(5), 500'000)));
    CHECK_FALSE(MayLose(Since(Phase::kReading, milliseconds(400))));
  }
  SECTION("without a request when a place for a request is needed") {
    CHECK_FALSE(
        MayLose(Since(Phase::kIdle, seconds(9)), PlaceNeeded::kRequest));
    CHECK_FALSE(MayLose(Since(Phase::kNew, seconds(9)), PlaceNeeded::kRequest));
  }
}

TEST_CASE("a connection may lose its place") {
  SECTION("when its caller sends nothing") {
    CHECK(MayLose(Since(Phase::kNew, milliseconds(600))));
    CHECK(MayLose(Since(Phase::kIdle, milliseconds(600))));
    CHECK(MayLose(Since(Phase::kReading, milliseconds(600))));
  }
  SECTION("when its request arrives too slowly") {
    CHECK(MayLose(Since(Phase::kReading, seconds(5), 400'000)));
    CHECK(MayLose(Since(Phase::kReading, seconds(5), 400'000),
                  PlaceNeeded::kRequest));
  }
  SECTION("at any time after a refusal") {
    CHECK(MayLose(Since(Phase::kClosing, Duration())));
  }
}

TEST_CASE("the order in which connections lose their places") {
  const auto closing = Since(Phase::kClosing, milliseconds(1));
  const auto unused = Since(Phase::kNew, seconds(2));
  const auto stalled = Since(Phase::kReading, seconds(3));
  const auto idle = Since(Phase::kIdle, seconds(9));

  CHECK(Before(closing, stalled));
  CHECK(Before(stalled, unused));
  CHECK(Before(unused, idle));
  CHECK_FALSE(Before(idle, stalled));
  CHECK(Before(idle, Since(Phase::kIdle, seconds(8))));
  SECTION("counts what has arrived in favour of the caller") {
    CHECK(Before(stalled, Since(Phase::kReading, seconds(4), 200'000)));
  }
}

}  // namespace citronlane
