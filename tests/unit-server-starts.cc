#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "citronlane/fleet/server_starts.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BackendServer Start(const std::string& name, int64_t started_ms) {
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

TEST_CASE("starts of backend servers") {
  using List = std::vector<std::string>;
  ServerStarts starts;
  const TimePoint now{seconds(100)};
  CHECK(Ids(starts.Latest({Start("a", 5), Start("b", 5)}, now)) ==
        List{"a@5", "b@5"});

  SECTION("the latest counts") {
    CHECK(Ids(starts.Latest({Start("a", 9), Start("b", 5)},
                            now + seconds(1))) == List{"a@9", "b@5"});
    CHECK(starts.outdated() == 0);
  }
  SECTION("of two entries of one list too") {
    CHECK(Ids(starts.Latest({Start("a", 9), Start("a", 5), Start("b", 5)},
                            now + seconds(1))) == List{"a@9", "b@5"});
    CHECK(Ids(starts.Latest({Start("a", 5), Start("a", 9), Start("b", 5)},
                            now + seconds(2))) == List{"a@9", "b@5"});
  }
  SECTION("an earlier one that arrives late changes nothing") {
    BackendServer again = Start("a", 9);
    again.leaving_ = true;
    starts.Latest({again, Start("b", 5)}, now + seconds(1));
    const auto latest =
        starts.Latest({Start("a", 5), Start("b", 5)}, now + seconds(2));
    CHECK(Ids(latest) == List{"a@9", "b@5"});
    CHECK(latest[0].leaving_);
    CHECK(starts.outdated() == 1);
    CHECK(starts.set_back() == 0);
  }
  SECTION("one that stays is a start by a clock that was set back") {
    starts.Latest({Start("a", 9)}, now + seconds(1));
    CHECK(Ids(starts.Latest({Start("a", 7)}, now + seconds(2))) == List{"a@9"});
    CHECK(Ids(starts.Latest({Start("a", 7)}, now + milliseconds(4900))) ==
          List{"a@9"});
    CHECK(Ids(starts.Latest({Start("a", 7)}, now + milliseconds(5100))) ==
          List{"a@7"});
    CHECK(starts.set_back() == 1);
    CHECK(Ids(starts.Latest({Start("a", 7)}, now + milliseconds(5600))) ==
          List{"a@7"});
    CHECK(starts.outdated() == 0);
  }
  SECTION("one that was gone may come with any start") {
    starts.Latest({Start("b", 5)}, now + seconds(1));
    CHECK(Ids(starts.Latest({Start("a", 3), Start("b", 5)},
                            now + seconds(2))) == List{"a@3", "b@5"});
  }
}

}  // namespace citronlane
