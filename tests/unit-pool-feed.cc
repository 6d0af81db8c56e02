#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/pool_feed.h"
#include "citronlane/observe/event_log.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr GatewayCapacity kSmall{0.09, 7.5e6 / 8};
constexpr GatewayCapacity kLarge{0.3, 25e6 / 8};

/// Servers of the service in each of the domains.
std::vector<BackendServer> ServersIn(const std::vector<std::string>& domains,
                                     int count) {
  std::vector<BackendServer> servers;
  for (const std::string& domain : domains) {
    for (int i = 0; i < count; ++i) {
      BackendServer server;
      server.id_ = domain + std::to_string(i);
      server.service_ = "encode";
      server.failure_domain_ = domain;
      servers.push_back(server);
    }
  }
  return servers;
}

}  // namespace

TEST_CASE("the leader's pools follow the load that gateways report") {
  std::string lines;
  EventLog log("control", {[&lines](std::string_view line) {
                             lines += line;
                             return true;
                           },
                           SteadyNow, [] { return int64_t{0}; }});
  PoolFeed feed(&log);
  TimePoint now{seconds(100)};
  feed.StartLeading(now, 1);
  const std::vector<PooledService> services{{"encode", false, seconds(1)}};
  std::vector<FleetLoad::Gateway> gateways(6);
  for (size_t i = 0; i < gateways.size(); ++i) {
    gateways[i].gateway_.endpoint_ = "g" + std::to_string(i);
    gateways[i].gateway_.age_ = seconds(60);
    gateways[i].gateway_.capacity_ = kSmall;
    gateways[i].load_ = {0.1, 0.1, milliseconds(1)};
  }
  const auto pass =
      [&](Duration time,
          const std::optional<std::vector<BackendServer>>& servers) {
        for (const TimePoint until = now + time; now < until;) {
          now += milliseconds(200);
          for (FleetLoad::Gateway& gateway : gateways) {
            gateway.reported_ = now;
          }
          feed.Update(services, servers, gateways, now);
        }
      };
  const auto overload_owner = [&] {
    for (FleetLoad::Gateway& gateway : gateways) {
      if (gateway.gateway_.endpoint_ == feed.owners().begin()->second) {
        gateway.load_ = {0.97, 0.4, milliseconds(120)};
      }
    }
  };

  SECTION("a division is logged with what it was made by") {
    const auto servers = ServersIn({"a", "b", "c", "d"}, 4);
    pass(seconds(4), servers);
    REQUIRE(feed.owners().size() == 1);
    const uint64_t number = feed.number();
    overload_owner();
    pass(seconds(2), servers);
    CHECK(feed.owners().size() == 4);
    CHECK(feed.number() == number + 1);
    CHECK(lines.find("\"pool divided\"") != std::string::npos);
    CHECK(lines.find("\"processor_percent\":97") != std::string::npos);
    CHECK(lines.find("\"loop_lag_ms\":120") != std::string::npos);
  }
  SECTION("a move is logged with both owners") {
    const auto servers = ServersIn({"a", "b"}, 2);
    pass(seconds(4), servers);
    const std::string owner = feed.owners().at("encode");
    gateways.push_back(gateways.back());
    gateways.back().gateway_.endpoint_ = "large";
    gateways.back().gateway_.capacity_ = kLarge;
    overload_owner();
    pass(seconds(2), servers);
    CHECK(feed.owners().at("encode") == "large");
    CHECK(lines.find("\"partition moved\"") != std::string::npos);
    CHECK(lines.find("\"next_owner\":\"large\"") != std::string::npos);
    CHECK(lines.find("\"owner\":\"" + owner + "\"") != std::string::npos);
  }
  SECTION("nothing changes without a server list") {
    pass(seconds(4), std::nullopt);
    REQUIRE(feed.owners().size() == 1);
    const std::string owner = feed.owners().at("encode");
    overload_owner();
    pass(seconds(30), std::nullopt);
    CHECK(feed.owners() == PoolAssignment::Owners{{"encode", owner}});
    CHECK(lines.empty());
  }
}

}  // namespace citronlane
