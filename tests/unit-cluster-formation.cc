#include <catch2/catch.hpp>

#include <cstdint>
#include <map>

#include "citronlane/control/detail/cluster_formation.h"

namespace citronlane {

TEST_CASE("formation of a new cluster") {
  using State = ClusterFormation::State;
  ClusterFormation formation(1, 11, {2, 3});
  const std::map<uint64_t, uint64_t> voters = {{1, 0}, {2, 0}, {3, 0}};
  const ReplicationGreeting empty2{2, 22, false, voters};
  const ReplicationGreeting empty3{3, 33, false, voters};
  formation.Take(1, empty2);

  SECTION("waits for every initial voter, twice") {
    CHECK(formation.Take(2, empty2) == State::kWaiting);
    CHECK(formation.Take(2, empty3) == State::kWaiting);
    // Asked in the same round as the last one became known: proves nothing.
    CHECK(formation.Take(2, empty2) == State::kWaiting);
    CHECK(formation.Take(3, empty2) == State::kWaiting);
    CHECK(formation.Take(3, empty3) == State::kFormed);
    CHECK(formation.incarnations().at(3) == 33);
  }
  SECTION("starts over when a disk was replaced meanwhile") {
    formation.Take(1, empty3);
    formation.Take(2, empty2);
    CHECK(formation.Take(2, {3, 34, false, voters}) == State::kWaiting);
    CHECK(formation.Take(3, {3, 34, false, voters}) == State::kWaiting);
    CHECK(formation.Take(3, empty2) == State::kFormed);
  }
  SECTION("follows a voter that formed it with this disk") {
    const ReplicationGreeting formed{2, 22, true, {{1, 11}, {2, 22}, {3, 35}}};
    CHECK(formation.Take(2, formed) == State::kFormed);
    CHECK(formation.incarnations().at(3) == 35);
  }
  SECTION("is refused when the settings differ") {
    CHECK(formation.Take(2, {3, 33, false, {{1, 0}, {3, 0}, {4, 0}}}) ==
          State::kRefused);
  }
  SECTION("is refused when the cluster knows this node with another disk") {
    const ReplicationGreeting formed{2, 22, true, {{1, 10}, {2, 22}, {3, 33}}};
    CHECK(formation.Take(2, formed) == State::kRefused);
    CHECK(formation.Take(3, empty3) == State::kRefused);
  }
}

}  // namespace citronlane
