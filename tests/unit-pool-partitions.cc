#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/pool_division.h"
#include "citronlane/fleet/pooled_service.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/owner_table.h"
#include "citronlane/serving/serving_config.h"
#include "citronlane/serving/stage_pool_spec.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Counts = std::map<std::string, int>;
using Owners = PoolAssignment::Owners;
using Gateway = PoolAssignment::Gateway;

constexpr const char* kStage = "encode";
constexpr const char* kEngines = "generate";

std::vector<BackendServer> ServersIn(const std::string& service,
                                     const Counts& counts) {
  std::vector<BackendServer> servers;
  for (const auto& [domain, count] : counts) {
    for (int i = 0; i < count; ++i) {
      BackendServer server;
      server.id_ = service + domain + std::to_string(i);
      server.name_ = server.id_;
      server.service_ = service;
      server.failure_domain_ = domain;
      server.address_ = server.id_ + ":1";
      servers.push_back(server);
    }
  }
  return servers;
}

std::vector<PoolPartition> DivideStage(const Counts& counts,
                                       const Owners& held = {}) {
  const std::vector<PooledService> services{{kStage, false}};
  return DividePools(services, ServersIn(kStage, counts), held);
}

Owners OwnersOf(const std::vector<PoolPartition>& partitions) {
  Owners owners;
  for (const PoolPartition& partition : partitions) {
    owners[partition] = "g" + std::to_string(owners.size());
  }
  return owners;
}

std::vector<Gateway> Gateways(int count) {
  std::vector<Gateway> gateways;
  for (int i = 0; i < count; ++i) {
    Gateway gateway;
    gateway.endpoint_ = "g" + std::to_string(i);
    gateway.age_ = seconds(60);
    gateway.failure_domain_ = std::string(1, static_cast<char>('a' + i % 5));
    gateways.push_back(gateway);
  }
  return gateways;
}

}  // namespace

TEST_CASE("pools are divided") {
  const std::vector<PoolPartition> by_domain{
      {kStage, "a"}, {kStage, "b"}, {kStage, "c"}};

  SECTION("not while they are small") {
    CHECK(DivideStage({{"a", 6}, {"b", 6}, {"c", 6}}) ==
          std::vector<PoolPartition>{kStage});
    CHECK(DivideStage({}) == std::vector<PoolPartition>{kStage});
  }
  SECTION("by failure domain if they are large") {
    CHECK(DivideStage({{"a", 9}, {"b", 9}, {"c", 9}}) == by_domain);
  }
  SECTION("except domains of few servers, which share a partition") {
    CHECK(DivideStage({{"a", 20}, {"b", 9}, {"c", 2}, {"d", 3}}) ==
          std::vector<PoolPartition>{{kStage, "a"}, {kStage, "b"}, kStage});
  }
  SECTION("and stay divided when some servers leave") {
    const Owners held = OwnersOf(by_domain);
    CHECK(DivideStage({{"a", 9}, {"b", 7}, {"c", 2}}, held) == by_domain);
    CHECK(DivideStage({{"a", 2}, {"b", 2}, {"c", 2}}, held) ==
          std::vector<PoolPartition>{kStage});
    // A domain without servers needs no owner.
    CHECK(DivideStage({{"a", 9}, {"b", 9}}, held) ==
          std::vector<PoolPartition>{{kStage, "a"}, {kStage, "b"}});
  }
  SECTION("without counting leaving servers") {
    auto servers = ServersIn(kStage, {{"a", 13}, {"b", 13}});
    for (size_t i = 0; i < 13; ++i) {
      servers[i].leaving_ = true;
    }
    const std::vector<PooledService> services{{kStage, false}};
    CHECK(DividePools(services, servers, {}) ==
          std::vector<PoolPartition>{kStage});
  }
  SECTION("with a higher limit for engines") {
    const std::vector<PooledService> services{{kEngines, true}};
    CHECK(DividePools(services, ServersIn(kEngines, {{"a", 30}, {"b", 30}}),
                      {}) == std::vector<PoolPartition>{kEngines});
    CHECK(DividePools(services, ServersIn(kEngines, {{"a", 60}, {"b", 60}}), {})
              .size() == 2);
  }
}

TEST_CASE("pools are divided by what their owners carry") {
  const std::vector<PooledService> services{{kStage, false}};
  const auto small = ServersIn(kStage, {{"a", 4}, {"b", 5}, {"c", 2}});
  const auto large = ServersIn(kStage, {{"a", 9}, {"b", 9}, {"c", 9}});
  const PoolDivisions divided{{kStage, PoolDivision::kDivided}};
  const PoolDivisions undivided{{kStage, PoolDivision::kUndivided}};
  const std::vector<PoolPartition> parts{{kStage, "a"}, {kStage, "b"}, kStage};
  const Owners held = OwnersOf(parts);

  SECTION("also while they are small") {
    CHECK(DividePools(services, small, {}, divided) == parts);
    CHECK(DividePools(services, small, held, divided) == parts);
  }
  SECTION("and are undivided again, unless they are large") {
    CHECK(DividePools(services, small, held, undivided) ==
          std::vector<PoolPartition>{kStage});
    CHECK(DividePools(services, large, held, undivided).size() == 3);
  }
  SECTION("unless no failure domain has enough servers") {
    const auto few = ServersIn(kStage, {{"a", 3}, {"b", 3}, {"c", 3}});
    CHECK(DividePools(services, few, {}, divided) ==
          std::vector<PoolPartition>{kStage});
    CHECK_FALSE(CanDivide(services.front(), few));
    CHECK_FALSE(CanDivide(services.front(), ServersIn(kStage, {{"a", 20}})));
    CHECK(CanDivide(services.front(), small));
  }
}

TEST_CASE("pooled services have the shortest target of their routes") {
  ServingConfig::Parts declared;
  for (const char* name : {"encode", "rank", "unused"}) {
    Service service;
    service.name_ = name;
    service.stage_pool_ = StagePoolSpec();
    declared.services_.push_back(service);
  }
  const auto add_route = [&declared](milliseconds target,
                                     const std::vector<std::string>& stages) {
    auto route = std::make_shared<Route>();
    route->target_latency_ = target;
    for (const std::string& name : stages) {
      RouteStage stage;
      stage.service_ = name;
      route->stages_.push_back(stage);
    }
    declared.routes_.push_back(route);
  };
  add_route(milliseconds(1900), {"encode", "rank"});
  add_route(milliseconds(1100), {"encode", "encode"});
  add_route(milliseconds(0), {"rank"});
  const ServingConfig config(std::move(declared));
  const auto services = PooledServicesOf(config);
  REQUIRE(services.size() == 3);
  CHECK(services[0].shortest_target_ == milliseconds(1100));
  CHECK(services[1].shortest_target_ == milliseconds(1900));
  CHECK(services[2].shortest_target_ == milliseconds(0));
}

TEST_CASE("each server is in one partition at any time") {
  CHECK(rc::check("whatever servers come and go", [] {
    Owners held;
    for (int round = 0; round < 8; ++round) {
      Counts counts;
      for (const char* domain : {"a", "b", "c", "d", "e"}) {
        counts[domain] = *rc::gen::inRange(0, 14);
      }
      const auto servers = ServersIn(kStage, counts);
      const std::vector<PooledService> services{{kStage, false}};
      const auto partitions = DividePools(services, servers, held);
      RC_ASSERT(!partitions.empty());
      held = OwnersOf(partitions);
      FleetView view;
      view.SetServers(servers, TimePoint(seconds(1)));
      view.SetOwners(1, held);
      std::multiset<std::string> owned;
      for (const PoolPartition& partition : partitions) {
        for (const BackendServer* server : view.ServersIn(partition)) {
          owned.insert(server->id_);
        }
      }
      RC_ASSERT(owned.size() == servers.size());
      for (const BackendServer& server : servers) {
        RC_ASSERT(owned.count(server.id_) == 1);
      }
    }
  }));
}

// Hundreds of gateways join, leave, shut down and restart.
TEST_CASE("each partition has one owner") {
  CHECK(rc::check("whatever gateways come and go", [] {
    const std::vector<PooledService> services{{kStage, false}};
    const auto servers =
        ServersIn(kStage, {{"a", 9}, {"b", 9}, {"c", 9}, {"d", 9}, {"e", 8}});
    PoolAssignment assignment;
    TimePoint now{seconds(100)};
    assignment.StartLeading(now, 1);
    auto gateways = Gateways(40);
    const auto all = gateways;
    const auto partitions = DividePools(services, servers, {});
    now += seconds(3);
    assignment.Update(partitions, gateways, now);
    uint64_t number = assignment.number();
    Owners owners = assignment.owners();
    for (int step = 0; step < 30; ++step) {
      now += milliseconds(200);
      const auto index = *rc::gen::inRange<size_t>(0, all.size());
      const int what = *rc::gen::inRange(0, 3);
      const auto known =
          std::find_if(gateways.begin(), gateways.end(), [&](const Gateway& g) {
            return g.endpoint_ == all[index].endpoint_;
          });
      if (known == gateways.end()) {
        gateways.push_back(all[index]);
        gateways.back().age_ = Duration();
      } else if (what == 0 && gateways.size() > 20) {
        gateways.erase(known);
      } else if (what == 1) {
        known->stopping_ = !known->stopping_;
      }
      assignment.Update(partitions, gateways, now);
      // A number is never used again for different owners.
      if (assignment.owners() != owners) {
        RC_ASSERT(assignment.number() > number);
      }
      std::set<std::string> distinct;
      size_t moved = 0;
      for (const auto& [partition, owner] : assignment.owners()) {
        distinct.insert(owner);
        moved += owners.at(partition) != owner ? 1 : 0;
      }
      RC_ASSERT(assignment.owners().size() == partitions.size());
      RC_ASSERT(distinct.size() == partitions.size());
      // One gateway changed in this step, and another may be missing since an
      // earlier one; each owns one partition.
      RC_ASSERT(moved <= 2);
      number = assignment.number();
      owners = assignment.owners();
    }
  }));

  SECTION("in the failure domain of its servers") {
    PoolAssignment assignment;
    TimePoint now{seconds(100)};
    assignment.StartLeading(now, 1);
    const std::vector<PoolPartition> partitions{
        {kStage, "a"}, {kStage, "c"}, {kEngines, "c"}};
    const auto gateways = Gateways(40);
    REQUIRE(assignment.Update(partitions, gateways, now + seconds(3)));
    for (const auto& [partition, owner] : assignment.owners()) {
      const auto found = std::find_if(gateways.begin(), gateways.end(),
                                      [&owner = owner](const Gateway& gateway) {
                                        return gateway.endpoint_ == owner;
                                      });
      REQUIRE(found != gateways.end());
      CHECK(found->failure_domain_ == partition.failure_domain_);
    }
  }
}

// Guards against several owners of one partition's servers: an overloaded owner
// replied late, its clients assumed that it was lost, and each chose a
// successor.
TEST_CASE("a partition whose owner is unreachable") {
  FleetView view;
  view.SetOwners(3, {{{kStage, "a"}, "g1"},
                     {{kStage, "b"}, "g2"},
                     {{kStage, "c"}, "g3"},
                     {"small", "g4"}});
  view.SetGateways(
      {{"g1", "a", false}, {"g2", "b", false}, {"g9", "a", false}});
  OwnerTable table(&view, "g9");
  const TimePoint now{seconds(100)};
  REQUIRE(table.PartitionFor(kStage, "a", 7, now) ==
          PoolPartition(kStage, "a"));
  table.MarkLost("g1", now);

  SECTION("gets no other owner") {
    CHECK(table.OwnerOf({kStage, "a"}, now) == "g1");
  }
  SECTION("gets no work; the other partitions share it") {
    std::map<PoolPartition, int> chosen;
    for (uint64_t spread = 0; spread < 100; ++spread) {
      ++chosen[table.PartitionFor(kStage, "a", spread, now)];
    }
    CHECK(chosen.count({kStage, "a"}) == 0);
    CHECK(chosen[{kStage, "b"}] == 50);
    CHECK(chosen[{kStage, "c"}] == 50);
  }
  SECTION("is used again after a while, or once control names an owner") {
    CHECK(table.PartitionFor(kStage, "a", 7, now + seconds(3)) ==
          PoolPartition(kStage, "a"));
    Owners owners = view.owners();
    owners[{kStage, "a"}] = "g5";
    view.SetOwners(4, owners);
    CHECK(table.PartitionFor(kStage, "a", 7, now) ==
          PoolPartition(kStage, "a"));
    CHECK(table.OwnerOf({kStage, "a"}, now) == "g5");
  }
  SECTION("is used if there is no other partition") {
    for (const char* gateway : {"g2", "g3"}) {
      table.MarkLost(gateway, now);
    }
    CHECK(table.OwnerOf(table.PartitionFor(kStage, "a", 7, now), now) != "g9");
  }
  SECTION("has a successor only if the pool is undivided") {
    table.MarkLost("g4", now);
    CHECK(table.OwnerOf("small", now) != "g4");
  }
}

TEST_CASE("work of a domain without a partition goes to the rest") {
  FleetView view;
  view.SetOwners(3, {{{kStage, "a"}, "g1"}, {kStage, "g2"}});
  const OwnerTable table(&view, "g9");
  const TimePoint now{seconds(100)};
  CHECK(table.PartitionFor(kStage, "d", 7, now) == PoolPartition(kStage));
  CHECK(table.PartitionFor(kStage, "a", 7, now) == PoolPartition(kStage, "a"));
}

// After a power loss of all VMs no owners are named for a second, and one
// gateway could not run an undivided large pool.
TEST_CASE("a new fleet divides its pools before control has named owners") {
  const auto servers =
      ServersIn(kStage, {{"a", 9}, {"b", 9}, {"c", 9}, {"d", 9}, {"e", 8}});
  ServingConfig::Parts declared;
  Service service;
  service.name_ = kStage;
  service.stage_pool_ = StagePoolSpec();
  declared.services_.push_back(service);
  auto gateways = Gateways(40);
  FleetView view;
  view.SetConfig(std::make_shared<const ServingConfig>(std::move(declared)));
  std::vector<FleetView::Gateway> known;
  for (Gateway& gateway : gateways) {
    gateway.age_ = seconds(1);
    known.push_back({gateway.endpoint_, gateway.failure_domain_, false});
  }
  view.SetGateways(known);
  CHECK(view.PartitionsOf(kStage) == std::vector<PoolPartition>{kStage});
  const uint64_t before = view.partitions_number();
  view.SetServers(servers, TimePoint(seconds(1)));
  CHECK(view.partitions_number() > before);
  const auto partitions = view.PartitionsOf(kStage);
  CHECK(partitions.size() == 5);
  CHECK(view.PartitionIn(kStage, "a") == PoolPartition(kStage, "a"));
  CHECK(view.ServersIn({kStage, "a"}).size() == 9);

  SECTION("alike at all gateways and the first leader") {
    PoolAssignment assignment;
    const TimePoint now{seconds(100)};
    assignment.StartLeading(now, 1);
    REQUIRE(assignment.Update(partitions, gateways, now + milliseconds(200)));
    const OwnerTable one(&view, "g3");
    const OwnerTable other(&view, "g4");
    size_t same = 0;
    for (const PoolPartition& partition : partitions) {
      CHECK(one.OwnerOf(partition, now) == other.OwnerOf(partition, now));
      same += one.OwnerOf(partition, now) == assignment.owners().at(partition)
                  ? 1
                  : 0;
    }
    // The leader separates two partitions whose successor is the same gateway.
    CHECK(same >= partitions.size() - 1);
  }
  SECTION("and uses the owners that control names from then on") {
    view.SetOwners(1, {{kStage, "g7"}});
    CHECK(view.PartitionsOf(kStage) == std::vector<PoolPartition>{kStage});
    CHECK(view.PartitionIn(kStage, "a") == PoolPartition(kStage));
  }
}

TEST_CASE("work that waits in a partition belongs elsewhere") {
  FleetView view;
  const PoolPartition partition_a(kStage, "a");

  SECTION("not while no owner is named") {
    CHECK_FALSE(view.BelongsElsewhere(kStage, "g9"));
  }
  SECTION("if the pool was divided") {
    view.SetOwners(1, {{partition_a, "g9"}});
    CHECK(view.BelongsElsewhere(kStage, "g9"));
    CHECK_FALSE(view.BelongsElsewhere(partition_a, "g9"));
  }
  SECTION("if the pool was merged") {
    view.SetOwners(1, {{kStage, "g9"}});
    CHECK(view.BelongsElsewhere(partition_a, "g9"));
  }
  SECTION("if the partition has another owner") {
    view.SetOwners(1, {{partition_a, "g1"}});
    CHECK(view.BelongsElsewhere(partition_a, "g9"));
  }
  SECTION("if the undivided pool was moved from there to another gateway") {
    view.SetOwners(1, {{kStage, "g9"}});
    CHECK_FALSE(view.BelongsElsewhere(kStage, "g9"));
    view.SetOwners(2, {{kStage, "g1"}});
    CHECK(view.BelongsElsewhere(kStage, "g9"));
    CHECK_FALSE(view.BelongsElsewhere(kStage, "g1"));
    CHECK_FALSE(view.BelongsElsewhere(kStage, "g2"));
    view.SetOwners(3, {{kStage, "g9"}});
    CHECK_FALSE(view.BelongsElsewhere(kStage, "g9"));
    CHECK(view.BelongsElsewhere(kStage, "g1"));
  }
  SECTION("not at the successor of an undivided pool's owner") {
    view.SetOwners(1, {{kStage, "g1"}});
    CHECK_FALSE(view.BelongsElsewhere(kStage, "g9"));
  }
}

}  // namespace citronlane
