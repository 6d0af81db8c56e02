#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/relay/fleet_view.h"
#include "citronlane/routing/version_history.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {
namespace {

using std::chrono::seconds;
using Version = std::optional<std::string>;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kMoment{1};

BackendServer Server(const std::string& id,
                     const std::string& service,
                     const std::string& version) {
  BackendServer server;
  server.id_ = id;
  server.name_ = id;
  server.address_ = id;
  server.service_ = service;
  server.version_ = version;
  return server;
}

BackendServer Leaving(BackendServer server) {
  server.leaving_ = true;
  return server;
}

BackendServer Old() {
  return Server("1", "chat", "4.1");
}
BackendServer New() {
  return Server("2", "chat", "4.2");
}

}  // namespace

TEST_CASE("the only version that server lists have shown") {
  VersionHistory history;

  SECTION("is not known without a list") {
    CHECK_FALSE(history.OnlyVersion("chat"));
    CHECK_FALSE(history.OnlyVersionSince("chat", kStart));
    CHECK_FALSE(history.OnlyVersionBegin("chat"));
    CHECK(history.Covered(kStart) == Duration());
    history.Confirm(kStart);
    CHECK(history.Covered(kStart) == Duration());
  }

  history.Update(std::vector{Old(), Server("3", "draw", "9")}, kStart);

  SECTION("is that of the service") {
    CHECK(history.OnlyVersion("chat") == Version("4.1"));
    CHECK(history.OnlyVersion("draw") == Version("9"));
    CHECK_FALSE(history.OnlyVersion("other"));
    CHECK_FALSE(history.OnlyVersionBegin("other"));
  }
  SECTION("is not known for a time that lists don't cover") {
    history.Confirm(kStart + seconds(5));
    CHECK(history.OnlyVersionSince("chat", kStart) == Version("4.1"));
    CHECK_FALSE(history.OnlyVersionSince("chat", kStart - kMoment));
    CHECK(history.OnlyVersionBegin("chat") == kStart);
    CHECK(history.Covered(kStart + seconds(5)) == seconds(5));
  }
  SECTION("is none while there are two, though one is leaving") {
    const TimePoint two = kStart + seconds(5);
    history.Update(std::vector{Leaving(Old()), New()}, two);
    CHECK_FALSE(history.OnlyVersion("chat"));
    CHECK_FALSE(history.OnlyVersionSince("chat", two));
    CHECK_FALSE(history.OnlyVersionBegin("chat"));

    SECTION("and again one, after the first list with one") {
      const TimePoint one = kStart + seconds(8);
      history.Update(std::vector{New()}, one);
      CHECK_FALSE(history.OnlyVersion("chat"));
      // The old one may have been there until this list.
      CHECK_FALSE(history.OnlyVersionSince("chat", one));
      history.Confirm(one + seconds(1));
      CHECK_FALSE(history.OnlyVersionSince("chat", one));
      CHECK(history.OnlyVersionSince("chat", one + kMoment) == Version("4.2"));
      CHECK(history.OnlyVersionBegin("chat") == one + kMoment);
    }
  }
  SECTION("is still that of servers that are gone, for the time before") {
    history.Update({}, kStart + seconds(1));
    CHECK(history.OnlyVersionSince("chat", kStart) == Version("4.1"));
    CHECK_FALSE(
        history.OnlyVersionSince("chat", kStart + seconds(1) + kMoment));
    CHECK_FALSE(history.OnlyVersionBegin("chat"));
  }
  SECTION("was another one before a version that came back") {
    history.Update(std::vector{New()}, kStart + seconds(1));
    history.Update(std::vector{Old()}, kStart + seconds(2));
    CHECK_FALSE(history.OnlyVersionSince("chat", kStart));
    CHECK(history.OnlyVersionBegin("chat") == kStart + seconds(2) + kMoment);
  }
  SECTION("may be the empty one, which differs from others") {
    history.Update(std::vector{Old(), Server("4", "chat", "")},
                   kStart + seconds(1));
    CHECK_FALSE(history.OnlyVersion("chat"));
    history.Update(std::vector{Server("4", "chat", "")}, kStart + seconds(2));
    CHECK(history.OnlyVersionSince("chat", kStart + seconds(3)) == Version(""));
  }
  SECTION("does not come from a list that was read earlier") {
    history.Update(std::vector{New()}, kStart - seconds(1));
    CHECK(history.OnlyVersion("chat") == Version("4.1"));
    history.Confirm(kStart - seconds(1));
    CHECK(history.Covered(kStart) == Duration());
    CHECK_FALSE(history.OnlyVersionSince("chat", kStart - seconds(1)));
  }
  SECTION("begins anew after a gap between lists") {
    const TimePoint after = kStart + seconds(10) + kMoment;
    CHECK(history.Covered(kStart + seconds(10)) == seconds(10));
    CHECK(history.Covered(after) == Duration());
    history.Confirm(after);
    CHECK(history.Covered(after + seconds(1)) == seconds(1));
    CHECK_FALSE(history.OnlyVersionSince("chat", after - kMoment));
    CHECK(history.OnlyVersion("chat") == Version("4.1"));
  }
  SECTION("is known for the last two minutes") {
    history.Update(std::vector{New()}, kStart + seconds(1));
    TimePoint now = kStart + seconds(1);
    while (now < kStart + seconds(125)) {
      now += seconds(4);
      history.Confirm(now);
    }
    CHECK(history.Covered(now) == seconds(120));
    CHECK(history.OnlyVersion("chat") == Version("4.2"));
    CHECK(history.OnlyVersionSince("chat", now - seconds(120)) ==
          Version("4.2"));
    CHECK_FALSE(history.OnlyVersionSince("chat", now - seconds(121)));
    CHECK_FALSE(history.OnlyVersion("draw"));
  }
}

TEST_CASE("a gateway's view knows the versions that were listed") {
  FleetView view;
  view.SetServers({Old()}, kStart);
  CHECK(view.versions().OnlyVersion("chat") == Version("4.1"));

  SECTION("a list that control confirms counts") {
    view.ConfirmServers(kStart + seconds(8));
    view.ConfirmServers(kStart + seconds(16));
    CHECK(view.versions().Covered(kStart + seconds(16)) == seconds(16));
    CHECK(view.versions().OnlyVersionSince("chat", kStart) == Version("4.1"));
  }
  SECTION("an outdated list does not") {
    view.SetServers({New()}, kStart - seconds(1));
    CHECK(view.versions().OnlyVersion("chat") == Version("4.1"));
  }
  SECTION("an incarnation that another one has replaced counts") {
    BackendServer before = Server("5:1", "chat", "4.0");
    BackendServer after = Server("5:2", "chat", "4.1");
    before.name_ = after.name_ = "5";
    before.started_ms_ = 1;
    after.started_ms_ = 2;
    view.SetServers({before, after}, kStart + seconds(1));
    CHECK(view.servers().size() == 1);
    CHECK_FALSE(view.versions().OnlyVersion("chat"));
  }
}

}  // namespace citronlane
