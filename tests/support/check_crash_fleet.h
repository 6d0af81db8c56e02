#ifndef CITRONLANE_TESTS_SUPPORT_CHECK_CRASH_FLEET_H_
#define CITRONLANE_TESTS_SUPPORT_CHECK_CRASH_FLEET_H_

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <string>

#include "support/crash_fleet.h"

namespace citronlane {

/// Plays the scenario with several seeds, and checks how often crashing
/// requests run once they should be known, and how many others are refused.
inline void CheckCrashFleet(const std::string& title,
                            const CrashFleetScenario& scenario) {
  constexpr uint32_t kSeeds = 30;
  constexpr size_t kMaxLaterRuns = 3;
  size_t most_later = 0;
  size_t most_crashes = 0;
  size_t exposed = 0;
  size_t refused = 0;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CrashFleet fleet(scenario, seed);
    fleet.Play();
    INFO(title << ", seed " << seed);
    REQUIRE(fleet.crashes() >= 3);
    CHECK(fleet.later_runs() <= kMaxLaterRuns);
    CHECK(fleet.refused().count(CrashFleet::kCrashing) == 1);
    most_later = std::max(most_later, fleet.later_runs());
    most_crashes = std::max(most_crashes, fleet.crashes());
    exposed += fleet.exposed().size();
    refused +=
        fleet.refused().size() - fleet.refused().count(CrashFleet::kCrashing);
  }
  std::cout << title << ": runs in all, most " << most_crashes
            << "; later ones, most " << most_later << "; others: " << exposed
            << " interrupted by a crash, " << refused << " refused\n";
  // At most one in ten thousand of those that a crash interrupted.
  CHECK(refused * 10000 <= exposed);
}

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_CHECK_CRASH_FLEET_H_
