#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "citronlane/transport/listener_log.h"

namespace citronlane {

TEST_CASE("listener log") {
  TimePoint now{std::chrono::seconds(100)};
  std::vector<std::string> lines;
  ListenerLog log("callers",
                  {[&](std::string_view line) { lines.emplace_back(line); },
                   [&] { return now; }});

  SECTION("names the listener and what happened") {
    log.OnPlaceLost("reading", std::chrono::milliseconds(600));
    CHECK(lines == std::vector<std::string>{
                       "connection closed for another: phase=reading "
                       "stall_us=600000 listener=callers left_out=0"});
  }
  SECTION("writes one line a second and counts the others") {
    for (int i = 0; i < 1000; ++i) {
      log.OnRefused(RefusalReason::kMalformedRequest);
    }
    CHECK(lines ==
          std::vector<std::string>{"request not read: reason=malformed_request "
                                   "listener=callers left_out=0"});
    now += std::chrono::seconds(1);
    log.OnRefused(RefusalReason::kTooManyConnections);
    REQUIRE(lines.size() == 2);
    CHECK(lines[1] ==
          "request not read: reason=too_many_connections listener=callers "
          "left_out=999");
  }
}

}  // namespace citronlane
