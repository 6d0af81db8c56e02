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
  formation.HandleGreeting(1, empty2);

  SECTION("waits for every initial voter, twice") {
    CHECK(formation.HandleGreeting(2, empty2) == State::kWaiting);
    CHECK(formation.HandleGreeting(2, empty3) == State::kWaiting);
    // Of the round in which the last incarnation became known: no confirmation.
    CHECK(formation.HandleGreeting(2, empty2) == State::kWaiting);
    CHECK(formation.HandleGreeting(3, empty2) == State::kWaiting);
    CHECK(formation.HandleGreeting(3, empty3) == State::kFormed);
    CHECK(formation.incarnations().at(3) == 33);
  }
  SECTION("starts over when a disk was replaced in the meantime") {
    formation.HandleGreeting(1, empty3);
    formation.HandleGreeting(2, empty2);
    CHECK(formation.HandleGreeting(2, {3, 34, false, voters}) ==
          State::kWaiting);
    CHECK(formation.HandleGreeting(3, {3, 34, false, voters}) ==
          State::kWaiting);
    CHECK(formation.HandleGreeting(3, empty2) == State::kFormed);
  }
  SECTION("succeeds when a voter has formed it with this disk") {
    const ReplicationGreeting formed{2, 22, true, {{1, 11}, {2, 22}, {3, 35}}};
    CHECK(formation.HandleGreeting(2, formed) == State::kFormed);
    CHECK(formation.incarnations().at(3) == 35);
  }
  SECTION("is refused when the settings differ") {
    CHECK(formation.HandleGreeting(
              2, {3, 33, false, {{1, 0}, {3, 0}, {4, 0}}}) == State::kRefused);
  }
  SECTION("is refused when the cluster records another disk for this node") {
    const ReplicationGreeting formed{2, 22, true, {{1, 10}, {2, 22}, {3, 33}}};
    CHECK(formation.HandleGreeting(2, formed) == State::kRefused);
    CHECK(formation.HandleGreeting(3, empty3) == State::kRefused);
  }
}

}  // namespace citronlane
