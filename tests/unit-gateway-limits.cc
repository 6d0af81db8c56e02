#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

#include "citronlane/relay/gateway_limits.h"
#include "citronlane/relay/server_call_limits.h"

namespace citronlane {
namespace {

size_t AllConnections(const HttpLimits& limits) {
  return limits.connections_ + limits.refused_connections_;
}

}  // namespace

TEST_CASE("the shares of a gateway's VM") {
  const auto [memory_mb, descriptors] = GENERATE(
      std::pair(64U, 64U), std::pair(96U, 200U), std::pair(120U, 2875U),
      std::pair(260U, 3900U), std::pair(4096U, 824U), std::pair(400U, 10050U),
      std::pair(256U, 100000U));
  const GatewayLimits limits(memory_mb, descriptors);
  const HttpLimits callers = limits.Callers(CallerLimits());
  const HttpLimits forwarded = limits.Forwarded(CallerLimits());
  const HttpLimits monitoring = limits.Monitoring();
  CAPTURE(memory_mb, descriptors);

  SECTION("leave descriptors for calls to backend servers") {
    const size_t used =
        AllConnections(callers) + AllConnections(forwarded) +
        limits.Peers().channels_ + limits.requests() +
        std::min<size_t>(2 * AllConnections(monitoring), descriptors / 8);
    CHECK(used < descriptors);
  }

  SECTION("leave memory for the process and for replies") {
    const uint64_t memory = uint64_t{memory_mb} << 20;
    const uint64_t used = callers.memory_bytes_ + forwarded.memory_bytes_ +
                          limits.Peers().input_bytes_ +
                          2 * monitoring.memory_bytes_ +
                          2 * ServerCallLimits(memory_mb).total_reply_bytes_;
    CHECK(used < memory * 3 / 4);
  }

  SECTION("allow the limits of the configuration") {
    CHECK(callers.header_bytes_ == CallerLimits().header_bytes_);
    CHECK(callers.body_bytes_ == CallerLimits().body_bytes_);
    CHECK(callers.read_timeout_ > CallerLimits().header_time_);
    CHECK(callers.idle_timeout_ == CallerLimits().idle_time_);
  }

  SECTION("have a place of each kind") {
    CHECK(callers.connections_ >= 1);
    CHECK(callers.refused_connections_ >= 1);
    CHECK(forwarded.connections_ >= 1);
    CHECK(limits.requests() >= 1);
    CHECK(limits.pieces() >= 1000);
  }
}

}  // namespace citronlane
