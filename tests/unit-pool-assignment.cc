#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/serving/gateway_capacity.h"

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

// Two sizes of VM: the larger one has 3.3 times the capacity.
constexpr GatewayCapacity kSmall{0.09, 7.5e6 / 8};
constexpr GatewayCapacity kLarge{0.3, 25e6 / 8};

std::string SuccessorAmong(const std::vector<Gateway>& gateways,
                           const PoolPartition& partition,
                           const PoolAssignment::Owners& owners) {
  const auto order = [&](const Gateway& gateway) {
    return PoolAssignment::SuccessorOrder(partition, gateway.endpoint_,
                                          gateway.ShouldYield(), owners,
                                          gateway.capacity_);
  };
  return std::max_element(gateways.begin(), gateways.end(),
                          [&](const Gateway& a, const Gateway& b) {
                            return order(a) < order(b);
                          })
      ->endpoint_;
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
  SECTION("get them also on VMs of different size") {
    for (size_t i = 0; i < gateways.size(); i += 4) {
      gateways[i].capacity_ = kLarge;
    }
    REQUIRE(assignment.Update(services, gateways, now + milliseconds(200)));
    std::set<std::string> distinct;
    for (const auto& [service, owner] : assignment.owners()) {
      distinct.insert(owner);
    }
    CHECK(distinct.size() == services.size());
    CHECK(assignment.owners().at("a") ==
          SuccessorAmong(gateways, "a", PoolAssignment::Owners()));
  }
  SECTION("wait longer if a gateway may know an owner") {
    gateways[3].age_ = seconds(60);
    CHECK_FALSE(assignment.Update(services, gateways, now + milliseconds(700)));
    assignment.Adopt(9, {{"a", "g5"}});
    CHECK(assignment.Update(services, gateways, now + milliseconds(700)));
    CHECK(assignment.owners().at("a") == "g5");
  }
}

TEST_CASE("pools go to gateways that can carry them") {
  PoolAssignment assignment;
  const TimePoint start{seconds(100)};
  const TimePoint now = start + seconds(3);
  assignment.StartLeading(start, 1);
  auto gateways = Gateways(12);
  const auto set_sizes = [&gateways](size_t large) {
    for (size_t i = 0; i < gateways.size(); ++i) {
      gateways[i].capacity_ = i < large ? kLarge : kSmall;
    }
  };
  const auto is_large = [](const std::string& endpoint) {
    return endpoint == "g0" || endpoint == "g1" || endpoint == "g2";
  };

  SECTION("the largest VMs first") {
    set_sizes(3);
    REQUIRE(assignment.Update(Services('c'), gateways, now));
    std::set<std::string> distinct;
    for (const auto& [service, owner] : assignment.owners()) {
      CHECK(is_large(owner));
      distinct.insert(owner);
    }
    CHECK(distinct.size() == 3);
  }
  SECTION("a second one only where more is left for both than elsewhere") {
    set_sizes(3);
    // A share of a half of a large VM is more than a small one has, a share of
    // a quarter is less.
    REQUIRE(assignment.Update(Services('f'), gateways, now));
    for (const auto& [service, owner] : assignment.owners()) {
      CHECK(is_large(owner));
    }
    REQUIRE(assignment.Update(Services('l'), gateways, now));
    std::map<std::string, int> counts;
    for (const auto& [service, owner] : assignment.owners()) {
      ++counts[owner];
    }
    for (const auto& [owner, count] : counts) {
      CHECK(count <= (is_large(owner) ? 3 : 1));
    }
  }
  SECTION("the lesser of processor and link counts") {
    set_sizes(3);
    gateways[0].capacity_.link_bytes_per_second_ = 1e4;
    gateways[1].capacity_.processor_cores_ = 0.01;
    REQUIRE(assignment.Update({"a"}, gateways, now));
    CHECK(assignment.owners().at("a") == "g2");
  }
  SECTION("an owner that is well keeps its pool when a larger VM appears") {
    set_sizes(0);
    REQUIRE(assignment.Update({"a"}, gateways, now));
    const PoolAssignment::Owners owners = assignment.owners();
    gateways.push_back({"new", false, seconds(60), "", false, kLarge});
    CHECK_FALSE(assignment.Update({"a"}, gateways, now + seconds(1)));
    CHECK(assignment.owners() == owners);
  }
  SECTION("a lost one's goes to the successor that gateways use") {
    set_sizes(3);
    REQUIRE(assignment.Update(Services('c'), gateways, now));
    const PoolAssignment::Owners before = assignment.owners();
    std::vector<Gateway> rest;
    for (const Gateway& gateway : gateways) {
      if (gateway.endpoint_ != before.at("a")) {
        rest.push_back(gateway);
      }
    }
    assignment.Update(Services('c'), rest, now);
    REQUIRE(assignment.Update(Services('c'), rest, now + milliseconds(400)));
    CHECK(assignment.owners().at("a") == SuccessorAmong(rest, "a", before));
    CHECK(assignment.owners().at("b") == before.at("b"));
  }
  SECTION("a VM whose capacity is not known comes last") {
    set_sizes(0);
    gateways.push_back({"unknown", false, seconds(10)});
    REQUIRE(assignment.Update(Services('l'), gateways, now));
    for (const auto& [service, owner] : assignment.owners()) {
      CHECK(owner != "unknown");
    }
  }
}

TEST_CASE("a pool that is moved") {
  PoolAssignment assignment;
  const TimePoint now{seconds(103)};
  assignment.StartLeading(TimePoint(seconds(100)), 1);
  const auto gateways = Gateways(5);
  REQUIRE(assignment.Update(Services('b'), gateways, now));
  const PoolAssignment::Owners before = assignment.owners();
  const uint64_t number = assignment.number();

  SECTION("has its new owner under a higher number, from then on") {
    const std::string next = before.at("a") == "g0" ? "g1" : "g0";
    assignment.Move("a", next);
    CHECK(assignment.Update(Services('b'), gateways, now));
    CHECK(assignment.number() == number + 1);
    CHECK_FALSE(assignment.Update(Services('b'), gateways, now + seconds(1)));
    CHECK(assignment.owners().at("a") == next);
    CHECK(assignment.owners().at("b") == before.at("b"));
  }
  SECTION("goes on if the gateway is lost meanwhile") {
    assignment.Move("a", "gone");
    assignment.Update(Services('b'), gateways, now);
    assignment.Update(Services('b'), gateways, now + milliseconds(400));
    CHECK(assignment.owners().at("a") != "gone");
  }
  SECTION("is not, if it has no owner or has it already") {
    assignment.Move("none", "g0");
    assignment.Move("a", before.at("a"));
    CHECK_FALSE(assignment.Update(Services('b'), gateways, now));
    CHECK(assignment.owners() == before);
  }
}

TEST_CASE("VMs of one size are ordered as those of unknown size") {
  auto gateways = Gateways(20);
  PoolAssignment plain;
  plain.StartLeading(TimePoint(seconds(100)), 1);
  PoolAssignment sized;
  sized.StartLeading(TimePoint(seconds(100)), 1);
  const TimePoint now{seconds(103)};
  for (const char last : {'h', 't', 'z'}) {
    for (Gateway& gateway : gateways) {
      gateway.capacity_ = GatewayCapacity();
    }
    plain.Update(Services(last), gateways, now);
    for (Gateway& gateway : gateways) {
      gateway.capacity_ = kSmall;
    }
    sized.Update(Services(last), gateways, now);
    CHECK(plain.owners() == sized.owners());
    for (const PoolPartition& partition : Services(last)) {
      const PoolAssignment::Owners& owners = plain.owners();
      auto unknown = gateways;
      for (Gateway& gateway : unknown) {
        gateway.capacity_ = GatewayCapacity();
      }
      CHECK(SuccessorAmong(gateways, partition, owners) ==
            SuccessorAmong(unknown, partition, owners));
    }
  }
}

TEST_CASE("capacity in coarse steps") {
  CHECK(CapacityStep(kLarge, 1) > CapacityStep(kSmall, 1));
  CHECK(CapacityStep(kSmall, 2) == CapacityStep(kSmall, 1) - 2);
  // A wrong figure counts as none.
  const double nan = std::nan("");
  const double infinity = std::numeric_limits<double>::infinity();
  const int unknown = CapacityStep(GatewayCapacity(), 1);
  for (const double wrong : {0.0, -1.0, nan, infinity, -infinity}) {
    CHECK(CapacityStep(UsableCapacity(wrong, wrong), 1) == unknown);
    CHECK(CapacityStep({wrong, wrong}, 1) == unknown);
    CHECK(CapacityStep({0.3, wrong}, 1) == CapacityStep({0.3, 0}, 1));
  }
  CHECK(CapacityStep({1e300, 1e300}, 1) > CapacityStep(kLarge, 1));
  CHECK(CapacityStep({1e-300, 0}, 1) > unknown);
}

}  // namespace citronlane
