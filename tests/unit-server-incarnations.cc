#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "citronlane/fleet/server_incarnations.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BackendServer Incarnation(const std::string& name, int64_t started_ms) {
  BackendServer server;
  server.name_ = name;
  server.started_ms_ = started_ms;
  server.id_ = name + "@" + std::to_string(started_ms);
  return server;
}

std::vector<std::string> Ids(const std::vector<BackendServer>& servers) {
  std::vector<std::string> ids;
  ids.reserve(servers.size());
  for (const BackendServer& server : servers) {
    ids.push_back(server.id_);
  }
  return ids;
}

}  // namespace

TEST_CASE("incarnations of backend servers") {
  using List = std::vector<std::string>;
  ServerIncarnations incarnations;
  const TimePoint now{seconds(100)};
  CHECK(Ids(incarnations.Latest({Incarnation("a", 5), Incarnation("b", 5)},
                                now)) == List{"a@5", "b@5"});

  SECTION("the newest is current") {
    CHECK(Ids(incarnations.Latest({Incarnation("a", 9), Incarnation("b", 5)},
                                  now + seconds(1))) == List{"a@9", "b@5"});
    CHECK(incarnations.outdated() == 0);
  }
  SECTION("also of two entries of one list") {
    CHECK(Ids(incarnations.Latest(
              {Incarnation("a", 9), Incarnation("a", 5), Incarnation("b", 5)},
              now + seconds(1))) == List{"a@9", "b@5"});
    CHECK(Ids(incarnations.Latest(
              {Incarnation("a", 5), Incarnation("a", 9), Incarnation("b", 5)},
              now + seconds(2))) == List{"a@9", "b@5"});
  }
  SECTION("an older one in a late list changes nothing") {
    BackendServer again = Incarnation("a", 9);
    again.leaving_ = true;
    incarnations.Latest({again, Incarnation("b", 5)}, now + seconds(1));
    const auto latest = incarnations.Latest(
        {Incarnation("a", 5), Incarnation("b", 5)}, now + seconds(2));
    CHECK(Ids(latest) == List{"a@9", "b@5"});
    CHECK(latest[0].leaving_);
    CHECK(incarnations.outdated() == 1);
    CHECK(incarnations.clocks_set_back() == 0);
  }
  SECTION("an older one that stays listed is a restart with a clock set back") {
    incarnations.Latest({Incarnation("a", 9)}, now + seconds(1));
    CHECK(Ids(incarnations.Latest({Incarnation("a", 7)}, now + seconds(2))) ==
          List{"a@9"});
    CHECK(Ids(incarnations.Latest({Incarnation("a", 7)},
                                  now + milliseconds(4900))) == List{"a@9"});
    CHECK(Ids(incarnations.Latest({Incarnation("a", 7)},
                                  now + milliseconds(5100))) == List{"a@7"});
    CHECK(incarnations.clocks_set_back() == 1);
    CHECK(Ids(incarnations.Latest({Incarnation("a", 7)},
                                  now + milliseconds(5600))) == List{"a@7"});
    CHECK(incarnations.outdated() == 0);
  }
  SECTION("a server that was gone may return with any incarnation") {
    incarnations.Latest({Incarnation("b", 5)}, now + seconds(1));
    CHECK(Ids(incarnations.Latest({Incarnation("a", 3), Incarnation("b", 5)},
                                  now + seconds(2))) == List{"a@3", "b@5"});
  }
}

}  // namespace citronlane
