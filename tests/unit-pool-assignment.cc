#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "citronlane/fleet/pool_assignment.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Gateway = PoolAssignment::Gateway;

std::vector<Gateway> Gateways(int count) {
  std::vector<Gateway> gateways;
  gateways.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    gateways.push_back({"g" + std::to_string(i), false, seconds(60)});
  }
  return gateways;
}

// Undivided pools of services with one-letter names.
std::vector<PoolPartition> Services(char last) {
  std::vector<PoolPartition> services;
  for (char name = 'a'; name <= last; ++name) {
    services.emplace_back(std::string(1, name));
  }
  return services;
}

}  // namespace

TEST_CASE("pool assignment") {
  const auto services = Services('h');
  PoolAssignment assignment;
  TimePoint now{seconds(100)};
  assignment.StartLeading(now, 1);
  auto gateways = Gateways(100);

  now += seconds(3);
  REQUIRE(assignment.Update(services, gateways, now));
  const PoolAssignment::Owners first = assignment.owners();
  const uint64_t first_number = assignment.number();

  SECTION("pools are spread over the gateways") {
    std::set<std::string> distinct;
    for (const auto& [service, owner] : first) {
      distinct.insert(owner);
    }
    CHECK(first.size() == services.size());
    CHECK(distinct.size() == services.size());
  }

  SECTION("pools come and go with the configuration") {
    CHECK(assignment.Update(Services('j'), gateways, now));
    CHECK(assignment.owners().size() == 10);
    CHECK(assignment.owners().at("a") == first.at("a"));
    CHECK(assignment.Update(Services('b'), gateways, now));
    CHECK(assignment.owners().size() == 2);
    CHECK(assignment.owners().at("b") == first.at("b"));
  }

  SECTION("gateways that join take no pools") {
    gateways.push_back({"new", false, seconds(10)});
    CHECK_FALSE(assignment.Update(services, gateways, now + seconds(1)));
    CHECK(assignment.owners() == first);
  }

  SECTION("only the pools of a gateway that is gone change their owner") {
    std::vector<Gateway> rest;
    for (const Gateway& gateway : gateways) {
      if (gateway.endpoint_ != first.at("a")) {
        rest.push_back(gateway);
      }
    }
    // Not immediately: its connection may have been reset.
    CHECK_FALSE(assignment.Update(services, rest, now));
    CHECK(assignment.Update(services, rest, now + milliseconds(400)));
    CHECK(assignment.owners().at("a") != first.at("a"));
    for (size_t i = 1; i < services.size(); ++i) {
      CHECK(assignment.owners().at(services[i]) == first.at(services[i]));
    }
    CHECK(assignment.number() == first_number + 1);
  }

  SECTION("a gateway that reconnects in time keeps its pools") {
    const std::vector<Gateway> rest(gateways.begin() + 1, gateways.end());
    assignment.Update(services, rest, now);
    assignment.Update(services, gateways, now + milliseconds(200));
    assignment.Update(services, rest, now + milliseconds(400));
    CHECK(assignment.owners() == first);
  }

  SECTION(
      "the pool of a lost gateway goes to the successor that gateways use") {
    std::vector<Gateway> rest;
    std::string successor;
    PoolAssignment::Order best;
    for (const Gateway& gateway : gateways) {
      if (gateway.endpoint_ == first.at("a")) {
        continue;
      }
      rest.push_back(gateway);
      const auto order =
          PoolAssignment::SuccessorOrder("a", gateway.endpoint_, false, first);
      if (order > best) {
        best = order;
        successor = gateway.endpoint_;
      }
    }
    assignment.Update(services, rest, now);
    REQUIRE(assignment.Update(services, rest, now + milliseconds(400)));
    CHECK(assignment.owners().at("a") == successor);
    // Not a gateway that owns a pool already.
    for (size_t i = 1; i < services.size(); ++i) {
      CHECK(first.at(services[i]) != successor);
    }
  }

  SECTION("a gateway that shuts down hands its pools over immediately") {
    for (Gateway& gateway : gateways) {
      gateway.stopping_ = gateway.endpoint_ == first.at("c");
    }
    CHECK(assignment.Update(services, gateways, now));
    CHECK(assignment.owners().at("c") != first.at("c"));
  }

  // Requests at all gateways failed while the owner of a pool reached no
  // server.
  SECTION("a gateway that is cut off from the servers hands its pools over") {
    for (Gateway& gateway : gateways) {
      gateway.cut_off_ = gateway.endpoint_ == first.at("c");
    }
    REQUIRE(assignment.Update(services, gateways, now));
    const std::string next = assignment.owners().at("c");
    CHECK(next != first.at("c"));

    // It gets none of them back when it reaches servers again.
    for (Gateway& gateway : gateways) {
      gateway.cut_off_ = false;
    }
    CHECK_FALSE(assignment.Update(services, gateways, now));
    CHECK(assignment.owners().at("c") == next);
  }

  SECTION("no pool moves when all gateways are cut off") {
    for (Gateway& gateway : gateways) {
      gateway.cut_off_ = true;
    }
    CHECK_FALSE(assignment.Update(services, gateways, now));
  }

  SECTION("no pool moves when all gateways shut down") {
    for (Gateway& gateway : gateways) {
      gateway.stopping_ = true;
    }
    CHECK_FALSE(assignment.Update(services, gateways, now));
  }

  SECTION("a rolling restart moves each pool only a few times") {
    int changes = 0;
    for (size_t i = 0; i < gateways.size(); ++i) {
      for (int step = 0; step < 40; ++step) {
        now += milliseconds(100);
        for (Gateway& gateway : gateways) {
          gateway.age_ += milliseconds(100);
        }
        if (step == 20) {
          gateways[i].stopping_ = true;
        } else if (step == 30) {
          gateways[i] = {gateways[i].endpoint_, false, Duration()};
        }
        const PoolAssignment::Owners before = assignment.owners();
        assignment.Update(services, gateways, now);
        changes += before.at("a") != assignment.owners().at("a") ? 1 : 0;
      }
    }
    CHECK(changes <= 3);
  }
}

TEST_CASE("a new leader waits for the owners that gateways report") {
  const auto services = Services('c');
  PoolAssignment assignment;
  TimePoint now{seconds(100)};
  assignment.StartLeading(now, 1);
  const auto gateways = Gateways(10);
  CHECK_FALSE(assignment.Update(services, gateways, now + milliseconds(100)));
  const PoolAssignment::Owners owners{{"a", "g3"}, {"b", "g3"}, {"c", "g3"}};
  assignment.Adopt(41, owners);
  assignment.Adopt(40, PoolAssignment::Owners());
  now += seconds(1);
  // The owners stay, once with a number of the new leader.
  CHECK(assignment.Update(services, gateways, now));
  CHECK(assignment.owners() == owners);
  CHECK(assignment.number() > 41);
  CHECK_FALSE(assignment.Update(services, gateways, now + seconds(1)));
}

TEST_CASE("a new leader gives owners time to connect") {
  PoolAssignment assignment;
  TimePoint now{seconds(100)};
  const auto gateways = Gateways(10);
  const auto services = Services('c');
  const PoolAssignment::Owners owners{{"a", "g7"}, {"b", "g7"}, {"c", "g7"}};
  assignment.Adopt(41, owners);
  assignment.StartLeading(now, 2);
  // Only two gateways are connected: all pools would move to them.
  const std::vector<Gateway> early(gateways.begin(), gateways.begin() + 2);
  for (int i = 0; i < 15; ++i) {
    now += milliseconds(100);
    assignment.Update(services, early, now);
    REQUIRE(assignment.owners() == owners);
  }
  assignment.Update(services, gateways, now);
  CHECK(assignment.owners() == owners);
  // If it connected and left, or after a delay, its pools move to others.
  const std::vector<Gateway> rest(gateways.begin(), gateways.begin() + 7);
  assignment.Update(services, rest, now);
  assignment.Update(services, rest, now + milliseconds(400));
  CHECK(assignment.owners() != owners);
  assignment.Adopt(assignment.number() + 1, owners);
  assignment.StartLeading(now, 3);
  assignment.Update(services, rest, now + seconds(3));
  assignment.Update(services, rest, now + milliseconds(3400));
  CHECK(assignment.owners() != owners);
}

TEST_CASE("a new leader without known owners waits for a report of them") {
  const auto services = Services('c');
  PoolAssignment assignment;
  TimePoint now{seconds(100)};
  assignment.StartLeading(now, 2);
  // One gateway has just started and none has reported owners.
  const std::vector<Gateway> early{{"young", false, seconds(1)},
                                   {"old", false, seconds(60)}};
  for (int i = 0; i < 18; ++i) {
    now += milliseconds(100);
    REQUIRE_FALSE(assignment.Update(services, early, now));
  }
  CHECK(assignment.Update(services, early, now + milliseconds(300)));

  SECTION("but not when all gateways have just started") {
    PoolAssignment fresh;
    fresh.StartLeading(now, 2);
    const std::vector<Gateway> young{{"young", false, seconds(1)}};
    CHECK(fresh.Update(services, young, now + milliseconds(700)));
  }
}

TEST_CASE("two leaders never give one number to different owners") {
  const auto services = Services('z');
  // The first leader sends a change to some gateways only, then is cut off.
  TimePoint now{seconds(100)};
  PoolAssignment cut_off;
  cut_off.StartLeading(now, 4);
  auto gateways = Gateways(10);
  REQUIRE(cut_off.Update(services, gateways, now + seconds(3)));
  PoolAssignment next;
  next.Adopt(cut_off.number(), cut_off.owners());
  const std::vector<Gateway> first_gone(gateways.begin() + 1, gateways.end());
  cut_off.Update(services, first_gone, now + seconds(4));
  REQUIRE(cut_off.Update(services, first_gone, now + seconds(5)));
  const std::vector<Gateway> last_gone(gateways.begin(), gateways.end() - 1);
  next.StartLeading(now, 5);
  next.Update(services, last_gone, now + seconds(4));
  REQUIRE(next.Update(services, last_gone, now + seconds(5)));
  REQUIRE(next.owners() != cut_off.owners());
  CHECK(next.number() > cut_off.number());
}

// After a power loss of all VMs the first leader meets gateways that have run
// for a second and know no owner. They already use the successors, so the
// leader must name these without a long wait.
TEST_CASE("pools of a fleet that has just started") {
  const auto services = Services('c');
  PoolAssignment assignment;
  const TimePoint now{seconds(100)};
  std::vector<Gateway> gateways;
  gateways.reserve(20);
  for (int i = 0; i < 20; ++i) {
    gateways.push_back({"g" + std::to_string(i), false, seconds(1)});
  }
  assignment.StartLeading(now, 4);

  SECTION("get owners as soon as connected gateways have reported") {
    CHECK_FALSE(assignment.Update(services, gateways, now + milliseconds(100)));
    CHECK(assignment.Update(services, gateways, now + milliseconds(160)));
  }
  SECTION("get the successors that gateways already use") {
    REQUIRE(assignment.Update(services, gateways, now + milliseconds(200)));
    std::string successor;
    PoolAssignment::Order best;
    for (const Gateway& gateway : gateways) {
      const auto order = PoolAssignment::SuccessorOrder(
          "a", gateway.endpoint_, false, PoolAssignment::Owners());
      if (successor.empty() || order > best) {
        best = order;
        successor = gateway.endpoint_;
      }
    }
    CHECK(assignment.owners().at("a") == successor);
    std::set<std::string> distinct;
    for (const auto& [service, owner] : assignment.owners()) {
      distinct.insert(owner);
    }
    CHECK(distinct.size() == services.size());
  }
  SECTION("wait longer if a gateway may know an owner") {
    gateways[3].age_ = seconds(60);
    CHECK_FALSE(assignment.Update(services, gateways, now + milliseconds(700)));
    assignment.Adopt(9, {{"a", "g5"}});
    CHECK(assignment.Update(services, gateways, now + milliseconds(700)));
    CHECK(assignment.owners().at("a") == "g5");
  }
}

}  // namespace citronlane
