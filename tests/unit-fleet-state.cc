#include <catch2/catch.hpp>

#include <string>

#include "citronlane/fleet/drained_servers.h"
#include "citronlane/state/config_register.h"
#include "citronlane/state/drained_domains.h"
#include "citronlane/state/fleet_state.h"

namespace citronlane {
namespace {

using Change = FleetState::Change;
using Names = DrainedDomains::Names;

}  // namespace

TEST_CASE("drained failure domains") {
  DrainedDomains drained;
  CHECK(drained.Apply(DrainedDomains::Command("north-a", true)));
  CHECK(drained.names() == Names{"north-a"});

  SECTION("a repeated command changes nothing") {
    CHECK_FALSE(drained.Apply(DrainedDomains::Command("north-a", true)));
    CHECK(drained.Apply(DrainedDomains::Command("north-a", false)));
    CHECK_FALSE(drained.Apply(DrainedDomains::Command("north-a", false)));
    CHECK(drained.names().empty());
  }
  SECTION("names that could break a line or a path are refused") {
    for (const char* name : {"", "a b", "a\nb", "a/b", "a%2Fb"}) {
      INFO(name);
      CHECK_FALSE(DrainedDomains::IsName(name));
      CHECK_FALSE(drained.Apply("!drain " + std::string(name)));
    }
    CHECK_FALSE(DrainedDomains::IsName(std::string(65, 'a')));
    CHECK(DrainedDomains::IsName("North_2-a.b"));
    CHECK(drained.names() == Names{"north-a"});
  }
  SECTION("the state is bounded") {
    for (int i = 1; i < 64; ++i) {
      const std::string name = "d" + std::to_string(i);
      CHECK(drained.HasCapacityFor(name));
      CHECK(drained.Apply(DrainedDomains::Command(name, true)));
    }
    CHECK_FALSE(drained.HasCapacityFor("more"));
    CHECK_FALSE(drained.Apply(DrainedDomains::Command("more", true)));
    CHECK(drained.HasCapacityFor("north-a"));
    CHECK(drained.Apply(DrainedDomains::Command("north-a", false)));
    CHECK(drained.HasCapacityFor("more"));
  }
}

TEST_CASE("state of a fleet") {
  FleetState state;
  CHECK(state.Apply(ConfigRegister::Command(7, "seven\nlines")) ==
        Change::kConfig);
  CHECK(state.Apply(ConfigRegister::Command(7, "again")) == Change::kNothing);
  CHECK(state.Apply("!other") == Change::kNothing);

  SECTION("without drained domains its snapshot is the configuration's") {
    CHECK(state.Snapshot() == state.config().Snapshot());
    FleetState copy;
    copy.Restore(state.Snapshot());
    CHECK(copy.config().document() == "seven\nlines");
    CHECK(copy.drained().names().empty());
  }
  SECTION("a snapshot restores both components") {
    CHECK(state.Apply(DrainedDomains::Command("north-b", true)) ==
          Change::kDrainedDomains);
    CHECK(state.Apply(DrainedDomains::Command("north-a", true)) ==
          Change::kDrainedDomains);
    FleetState copy;
    copy.Restore(state.Snapshot());
    CHECK(copy.drained().names() == Names{"north-a", "north-b"});
    CHECK(copy.config().version() == 7);
    CHECK(copy.config().document() == "seven\nlines");
    copy.Restore(FleetState().Snapshot());
    CHECK(copy.drained().names().empty());
    CHECK(copy.config().is_empty());
  }
  SECTION("the common log format never falls and is in snapshots") {
    CHECK(state.log_format() == 0);
    CHECK(state.Apply(FleetState::LogFormatCommand(2)) == Change::kLogFormat);
    CHECK(state.Apply(FleetState::LogFormatCommand(1)) == Change::kNothing);
    CHECK(state.Apply("!format -1") == Change::kNothing);
    CHECK(state.Apply("!format 99999999999") == Change::kNothing);
    CHECK(state.log_format() == 2);
    FleetState copy;
    copy.Restore(state.Snapshot());
    CHECK(copy.log_format() == 2);
    CHECK(copy.drained().names().empty());
    CHECK(copy.config().version() == 7);
    CHECK(state.Apply(DrainedDomains::Command("north-b", true)) ==
          Change::kDrainedDomains);
    copy.Restore(state.Snapshot());
    CHECK(copy.log_format() == 2);
    CHECK(copy.drained().names() == Names{"north-b"});
    copy.Restore(FleetState().Snapshot());
    CHECK(copy.log_format() == 0);
  }
  SECTION("domains can be drained before there is a configuration") {
    FleetState early;
    CHECK(early.Apply(DrainedDomains::Command("north-a", true)) ==
          Change::kDrainedDomains);
    state.Restore(early.Snapshot());
    CHECK(state.config().is_empty());
    CHECK(state.drained().names() == Names{"north-a"});
  }
}

TEST_CASE("servers of drained failure domains are leaving") {
  BackendServer near;
  near.failure_domain_ = "north-a";
  BackendServer far;
  far.failure_domain_ = "north-b";
  const auto servers = WithDrained({near, far}, {"north-b", "north-c"});
  CHECK_FALSE(servers[0].leaving_);
  CHECK(servers[1].leaving_);
}

}  // namespace citronlane
