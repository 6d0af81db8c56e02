// Guards against a request that ends most of the servers that run it, but is
// failed without a crash or answered well by some, being sent to server after
// server.

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "support/check_crash_fleet.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void CheckIntervals(const std::string& title, CrashFleetScenario scenario) {
  scenario.crashing_attempts_ = 2;
  scenario.run_time_ = milliseconds(60);
  scenario.length_ = seconds(60);
  for (const int interval : {450, 1000, 3200, 5000}) {
    scenario.crashing_interval_ = milliseconds(interval);
    CheckCrashFleet(title + ", each " + std::to_string(interval) + " ms",
                    scenario);
  }
}

}  // namespace

TEST_CASE("a request that does not end all servers that run it") {
  for (const size_t servers : {4, 40}) {
    CrashFleetScenario scenario;
    scenario.servers_ = servers;
    const std::string title = std::to_string(servers) + " servers";
    SECTION("of " + title + ", some of which fail it") {
      scenario.failed_runs_ = 30;
      CheckIntervals(title + ", errors", scenario);
    }
    SECTION("of " + title + ", some of which answer it") {
      scenario.good_runs_ = 20;
      CheckIntervals(title + ", survivals", scenario);
    }
  }
}

}  // namespace citronlane
