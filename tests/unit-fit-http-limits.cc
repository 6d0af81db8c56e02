#include <catch2/catch.hpp>

#include "citronlane/transport/fit_http_limits.h"

namespace citronlane {

TEST_CASE("limits of callers fit the machine") {
  HttpLimits limits;
  limits.memory_bytes_ = 100'000'000;
  limits.connections_ = 4000;
  limits.refused_connections_ = 200;

  SECTION("a machine with more changes nothing") {
    const HttpLimits fitted = FitHttpLimits(limits, {8'000'000'000, 100'000});
    CHECK(fitted.memory_bytes_ == 100'000'000);
    CHECK(fitted.connections_ == 4000);
    CHECK(fitted.refused_connections_ == 200);
  }
  SECTION("a machine with less lowers them to its shares") {
    const HttpLimits fitted = FitHttpLimits(limits, {400'000'000, 1000});
    CHECK(fitted.memory_bytes_ == 50'000'000);
    CHECK(fitted.connections_ == 400);
    CHECK(fitted.refused_connections_ == 50);
  }
  SECTION("at least one place is left") {
    const HttpLimits fitted = FitHttpLimits(limits, {1, 1});
    CHECK(fitted.connections_ == 1);
    CHECK(fitted.refused_connections_ == 1);
  }
  SECTION("the limits of this process can be read") {
    const MachineLimits machine = ReadMachineLimits();
    CHECK(machine.memory_bytes_ > 0);
    CHECK(machine.descriptors_ > 0);
  }
}

}  // namespace citronlane
