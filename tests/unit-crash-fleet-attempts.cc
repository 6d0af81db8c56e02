// Guards against a crashing segment that is found too late since crashes closer
// together than half a second count once, while each of its requests is sent to
// a second server right after the first has ended.

#include <catch2/catch.hpp>

#include <chrono>

#include "support/check_crash_fleet.h"

namespace citronlane {

TEST_CASE("a crashing segment that is seldom sent, to two servers each time") {
  CrashFleetScenario scenario;
  scenario.is_by_segment_ = true;
  scenario.length_ = std::chrono::seconds(110);
  scenario.crashing_attempts_ = 2;
  scenario.deciding_crashes_ = 5;
  scenario.crashing_interval_ = std::chrono::seconds(3);
  CheckCrashFleet("segment, 6 gateways, two attempts each 3 s", scenario);
}

}  // namespace citronlane
