#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "citronlane/json/fault.h"
#include "citronlane/json/parse.h"
#include "citronlane/observe/event_log.h"

namespace citronlane {
namespace {

using std::chrono::seconds;

/// Keeps log lines in memory; tests set the clock.
struct Memory {
  EventLog::Hooks Hooks() {
    EventLog::Hooks hooks;
    hooks.write_ = [this](std::string_view line) {
      if (!takes_lines_) {
        return false;
      }
      lines_.emplace_back(line);
      return true;
    };
    hooks.now_ = [this] { return now_; };
    hooks.wall_ms_ = [] { return int64_t{1700000000000}; };
    return hooks;
  }

  std::vector<std::string> lines_;
  TimePoint now_{seconds(100)};
  bool takes_lines_ = true;
};

}  // namespace

TEST_CASE("event log") {
  Memory memory;
  EventLog log("n1", memory.Hooks());

  SECTION("a line with values of callers that are too long is written") {
    log.Write("relay", "refused",
              {{"request", std::string(16000, 'x')}, {"status", 503}});
    REQUIRE(memory.lines_.size() == 1);
    CHECK(memory.lines_[0].size() < 2000);
    CHECK(memory.lines_[0].find("\"status\":503") != std::string::npos);
    CHECK(log.dropped() == 0);
  }

  SECTION("a line is one JSON object, whatever its values hold") {
    log.Write("relay", "refused",
              {{"request", "a\"b\\c\nd"},
               {"status", 503},
               {"took_ms", std::chrono::milliseconds(12)},
               {"version", uint64_t{7}}});
    REQUIRE(memory.lines_.size() == 1);
    CHECK(memory.lines_[0].back() == '\n');
    Fault fault;
    const auto line = ParseJson(memory.lines_[0], &fault);
    REQUIRE(line);
    CHECK(line->Find("node")->AsString() == "n1");
    CHECK(line->Find("part")->AsString() == "relay");
    CHECK(line->Find("event")->AsString() == "refused");
    CHECK(line->Find("request")->AsString() == "a\"b\\c d");
    CHECK(line->Find("status")->AsNumber() == 503);
    CHECK(line->Find("took_ms")->AsNumber() == 12);
    CHECK(line->Find("version")->AsNumber() == 7);
  }

  SECTION("a flood is bounded, and the number of dropped lines is reported") {
    constexpr int kFlood = 100000;
    for (int i = 0; i < kFlood; ++i) {
      log.Write("relay", "refused", {{"request", "r"}});
    }
    CHECK(memory.lines_.size() < 1000);
    CHECK(log.dropped() == kFlood - memory.lines_.size());
    const uint64_t dropped = log.dropped();
    memory.now_ += seconds(10);
    log.Write("relay", "answered", {});
    CHECK(memory.lines_.back().find("\"lines_dropped\":" +
                                    std::to_string(dropped)) !=
          std::string::npos);
    log.Write("relay", "answered", {});
    CHECK(memory.lines_.back().find("lines_dropped") == std::string::npos);
  }

  SECTION("ten seconds of flood stay within the rate") {
    for (int i = 0; i < 10000; ++i) {
      memory.now_ += std::chrono::milliseconds(1);
      for (int j = 0; j < 10; ++j) {
        log.Write("relay", "refused", {});
      }
    }
    CHECK(memory.lines_.size() < 2300);
  }

  SECTION("lines are dropped when the output would block") {
    memory.takes_lines_ = false;
    log.Write("relay", "one", {});
    log.Write("relay", "two", {});
    CHECK(log.dropped() == 2);
    memory.takes_lines_ = true;
    log.Write("relay", "three", {});
    CHECK(memory.lines_.at(0).find("\"lines_dropped\":2") != std::string::npos);
  }
}

}  // namespace citronlane
