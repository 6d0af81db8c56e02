// Guards against a request that crashes servers and is found too late when many
// gateways each see little of it, messages are late, and the leader or a
// gateway is lost meanwhile; and against blocking requests that ran beside it
// then.

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "support/check_crash_fleet.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("a crashing request in a fleet") {
  CrashFleetScenario scenario;

  SECTION("of few gateways") {
    CheckCrashFleet("6 gateways", scenario);
  }
  SECTION("of many gateways") {
    scenario.gateways_ = 360;
    scenario.servers_ = 60;
    CheckCrashFleet("360 gateways", scenario);
  }
  SECTION("with late messages") {
    scenario.gateways_ = 59;
    scenario.max_message_delay_ = milliseconds(700);
    CheckCrashFleet("59 gateways, messages up to 0.7 s late", scenario);
  }
  SECTION("whose leader is lost after the first crashes") {
    scenario.gateways_ = 59;
    scenario.leader_lost_ = milliseconds(1200);
    CheckCrashFleet("59 gateways, leader lost before the block", scenario);
  }
  SECTION("whose leader is lost after the block") {
    scenario.gateways_ = 59;
    scenario.leader_lost_ = seconds(8);
    CheckCrashFleet("59 gateways, leader lost after the block", scenario);
  }
  SECTION("whose leader and gateways are lost, with late messages") {
    scenario.gateways_ = 59;
    scenario.max_message_delay_ = milliseconds(500);
    scenario.leader_lost_ = milliseconds(1700);
    scenario.gateway_lost_every_ = milliseconds(300);
    CheckCrashFleet("59 gateways, leader and gateways lost, late messages",
                    scenario);
  }
  SECTION("that is sent to a second server at once") {
    scenario.crashing_attempts_ = 2;
    CheckCrashFleet("6 gateways, two attempts", scenario);
    for (const int interval : {1000, 1600, 2000, 3000}) {
      scenario.crashing_interval_ = milliseconds(interval);
      CheckCrashFleet(
          "6 gateways, two attempts each " + std::to_string(interval) + " ms",
          scenario);
    }
  }
}

// Guards against a segment that is found too late, or is tried by many gateways
// at once when its block is over.
TEST_CASE("a crashing segment in a fleet") {
  CrashFleetScenario scenario;
  scenario.is_by_segment_ = true;
  // Two trials after the first block and its double.
  scenario.length_ = seconds(110);

  SECTION("of few gateways") {
    CheckCrashFleet("segment, 6 gateways", scenario);
  }
  SECTION("of many gateways") {
    scenario.gateways_ = 360;
    scenario.servers_ = 60;
    CheckCrashFleet("segment, 360 gateways", scenario);
  }
  SECTION("whose messages are late") {
    scenario.gateways_ = 59;
    scenario.max_message_delay_ = milliseconds(700);
    CheckCrashFleet("segment, 59 gateways, messages up to 0.7 s late",
                    scenario);
  }
  SECTION("whose leader is lost during the block") {
    scenario.gateways_ = 59;
    scenario.leader_lost_ = seconds(20);
    CheckCrashFleet("segment, 59 gateways, leader lost in the block", scenario);
  }
  SECTION("whose leader and gateways are lost") {
    scenario.gateways_ = 59;
    scenario.leader_lost_ = seconds(36);
    scenario.gateway_lost_every_ = seconds(3);
    CheckCrashFleet("segment, 59 gateways, leader and gateways lost", scenario);
  }
  SECTION("whose failure domains are lost") {
    scenario.domain_lost_every_ = milliseconds(1700);
    scenario.length_ = seconds(60);
    CheckCrashFleet("segment, 6 gateways, a domain lost each 1.7 s", scenario);
  }
  SECTION("that is seldom sent") {
    scenario.crashing_interval_ = seconds(2);
    CheckCrashFleet("segment, 6 gateways, sent each 2 s", scenario);
  }
  SECTION("whose requests are sent to a second server at once") {
    scenario.crashing_attempts_ = 2;
    scenario.deciding_crashes_ = 5;
    CheckCrashFleet("segment, 6 gateways, two attempts", scenario);
  }
  SECTION("whose requests are seldom sent, but to a second server at once") {
    scenario.crashing_attempts_ = 2;
    scenario.deciding_crashes_ = 5;
    for (const int interval : {1000, 1600, 2000}) {
      scenario.crashing_interval_ = milliseconds(interval);
      CheckCrashFleet("segment, 6 gateways, two attempts each " +
                          std::to_string(interval) + " ms",
                      scenario);
    }
  }
}

}  // namespace citronlane
