// Guards against a server that gets requests in the time for which it has asked
// to get none, and against one that is left out for good for a nonsensical
// time.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "citronlane/routing/server_rests.h"
#include "platform/headers.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::optional<double> ReadRest(const std::vector<HttpHeader>& headers,
                               int status = 503) {
  return platform::ReadReply(status, headers).rest_seconds_;
}

}  // namespace

TEST_CASE("a server that asked for rest") {
  ServerRests rests;
  CHECK(rests.MayCall("s", kStart));
  CHECK(rests.OnRefused("s", 2, kStart) == Duration(seconds(2)));

  SECTION("gets no call until the time is over") {
    CHECK_FALSE(rests.MayCall("s", kStart));
    CHECK_FALSE(rests.MayCall("s", kStart + milliseconds(1999)));
    CHECK(rests.Left("s", kStart + milliseconds(500)) == milliseconds(1500));
    CHECK(rests.MayCall("s", kStart + seconds(2)));
    CHECK(rests.MayCall("other", kStart));
    CHECK(rests.Resting(kStart) == std::vector<std::string>{"s"});
    CHECK(rests.Resting(kStart + seconds(2)).empty());
  }
  SECTION("rests for the longest time of all replies") {
    CHECK_FALSE(rests.OnRefused("s", 0.5, kStart + milliseconds(100)));
    CHECK(rests.Left("s", kStart) == seconds(2));
    CHECK_FALSE(rests.OnRefused("s", 2, kStart + seconds(1)));
    CHECK(rests.Left("s", kStart) == seconds(3));
  }
  SECTION("may ask again afterwards") {
    CHECK(rests.OnRefused("s", 0.25, kStart + seconds(2)) ==
          Duration(milliseconds(250)));
  }
  SECTION("does not change the rest of another one") {
    CHECK(rests.OnRefused("t", 1, kStart + seconds(1)));
    CHECK(rests.Resting(kStart + seconds(1)) ==
          std::vector<std::string>{"s", "t"});
    CHECK(rests.OnRefused("t", 1, kStart + seconds(3)));
    CHECK(rests.Resting(kStart + seconds(3)) == std::vector<std::string>{"t"});
  }
}

TEST_CASE("a rest of any length") {
  ServerRests rests;

  SECTION("is bounded") {
    CHECK(rests.OnRefused("s", 1e300, kStart) == ServerRests::kMaxRest);
    CHECK(rests.MayCall("s", kStart + ServerRests::kMaxRest));
  }
  SECTION("of no time is none") {
    CHECK_FALSE(rests.OnRefused("s", 0, kStart));
    CHECK_FALSE(rests.OnRefused("s", 1e-300, kStart));
    CHECK(rests.MayCall("s", kStart));
  }
}

TEST_CASE("a rest in a reply") {
  SECTION("is a number of seconds") {
    CHECK(ReadRest({{"Retry-After", "3"}}) == 3.0);
    CHECK(ReadRest({{"retry-after", " 0.25 "}}) == 0.25);
    CHECK(ReadRest({{"Retry-After", "1e300"}}) == 1e300);
    CHECK_FALSE(ReadRest({}));
  }
  SECTION("is the longest one if it is there twice") {
    CHECK(ReadRest({{"Retry-After", "3"}, {"Retry-After", "1"}}) == 3.0);
    CHECK(ReadRest({{"Retry-After", "x"}, {"Retry-After", "1"}}) == 1.0);
  }
  SECTION("that can't be read is none") {
    for (const char* text : {"", "-1", "nan", "inf", "2 s", "soon",
                             "Fri, 31 Dec 1999 23:59:59 GMT"}) {
      INFO(text);
      CHECK_FALSE(ReadRest({{"Retry-After", text}}));
    }
  }
  SECTION("counts only in a refusal for want of capacity") {
    CHECK_FALSE(ReadRest({{"Retry-After", "3"}}, 200));
    CHECK_FALSE(ReadRest({{"Retry-After", "3"}}, 421));
    CHECK_FALSE(ReadRest({{"Retry-After", "3"}}, 500));
  }
}

}  // namespace citronlane
