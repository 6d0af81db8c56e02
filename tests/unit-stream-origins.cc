#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <string>

#include "citronlane/routing/stream_origins.h"

namespace citronlane {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kKeep = seconds(60);
constexpr Duration kMoment{1};

StreamOrigin First() {
  return {"chat", "4.1.0"};
}
StreamOrigin Other() {
  return {"chat", "4.2.0"};
}

}  // namespace

TEST_CASE("what began a stream") {
  StreamOrigins origins(kKeep, 100);

  SECTION("is not known before it is recorded") {
    CHECK_FALSE(origins.Find(1, kStart));
    CHECK(origins.size() == 0);
  }
  SECTION("is found by the key of the attempt's id") {
    CHECK(origins.Record(StreamOrigins::KeyOf("r-1"), First(), kStart));
    CHECK(origins.Record(StreamOrigins::KeyOf("r-2"), Other(), kStart));
    CHECK(origins.Find(StreamOrigins::KeyOf("r-1"), kStart) == First());
    CHECK(origins.Find(StreamOrigins::KeyOf("r-2"), kStart) == Other());
    CHECK_FALSE(origins.Find(StreamOrigins::KeyOf("r-3"), kStart));
  }
  // Gateways and control VMs of different releases compare keys.
  SECTION("has the same key in all processes") {
    CHECK(StreamOrigins::KeyOf("r-1") == 0xb662ba19967226efU);
  }
  SECTION("stays the first one recorded") {
    CHECK(origins.Record(1, First(), kStart));
    CHECK_FALSE(origins.Record(1, Other(), kStart));
    CHECK(origins.Find(1, kStart) == First());
    CHECK_FALSE(origins.Record(1, Other(), kStart + kKeep));
    CHECK(origins.Find(1, kStart + kKeep) == First());
    CHECK(origins.size() == 1);
  }
  SECTION("is kept at least for the time, and at most for twice that") {
    origins.Record(1, First(), kStart);
    origins.Record(2, First(), kStart + kKeep - kMoment);
    CHECK(origins.Find(1, kStart + kKeep));
    CHECK(origins.Find(2, kStart + 2 * kKeep - kMoment));
    CHECK_FALSE(origins.Find(1, kStart + 2 * kKeep));
    CHECK_FALSE(origins.Find(2, kStart + 2 * kKeep));
    CHECK(origins.size() == 0);
  }
  SECTION("is kept longer when it is recorded again") {
    origins.Record(1, First(), kStart);
    origins.Record(1, First(), kStart + kKeep);
    CHECK(origins.Find(1, kStart + 2 * kKeep));
    CHECK_FALSE(origins.Find(1, kStart + 3 * kKeep));
  }
  SECTION("is forgotten after a long pause") {
    origins.Record(1, First(), kStart);
    CHECK_FALSE(origins.Find(1, kStart + 10 * kKeep));
    // The next ones live as long as others.
    origins.Record(2, First(), kStart + 10 * kKeep);
    CHECK(origins.Find(2, kStart + 11 * kKeep));
  }
  SECTION("is visited once") {
    origins.Record(1, First(), kStart);
    origins.Record(2, Other(), kStart);
    origins.Record(2, Other(), kStart + kKeep);
    origins.Record(3, First(), kStart + kKeep);
    std::map<uint64_t, std::string> visited;
    size_t count = 0;
    origins.ForEach([&](uint64_t stream, const StreamOrigin& origin) {
      visited[stream] = origin.version_;
      ++count;
    });
    CHECK(visited == std::map<uint64_t, std::string>{
                         {1, "4.1.0"}, {2, "4.2.0"}, {3, "4.1.0"}});
    CHECK(count == 3);
  }
}

TEST_CASE("the number of streams is bounded") {
  StreamOrigins origins(kKeep, 10);
  for (uint64_t stream = 0; stream < 20; ++stream) {
    origins.Record(stream, First(), kStart);
  }

  SECTION("as many as allowed, twice, are kept") {
    CHECK(origins.size() == 20);
    CHECK(origins.forgotten_early() == 0);
    CHECK(origins.Find(0, kStart));
  }
  SECTION("the oldest are forgotten first") {
    CHECK(origins.Record(20, First(), kStart));
    CHECK(origins.size() == 11);
    CHECK(origins.forgotten_early() == 10);
    CHECK_FALSE(origins.Find(9, kStart));
    CHECK(origins.Find(10, kStart));
    CHECK(origins.Find(20, kStart));
  }
  SECTION("one that is recorded again is not among them") {
    CHECK_FALSE(origins.Record(3, Other(), kStart));
    CHECK(origins.Find(3, kStart) == First());
    CHECK(origins.forgotten_early() == 9);
  }
  SECTION("those that are forgotten in time don't count") {
    origins.Record(20, First(), kStart + 2 * kKeep);
    CHECK(origins.forgotten_early() == 0);
    CHECK(origins.size() == 1);
  }
}

}  // namespace citronlane
