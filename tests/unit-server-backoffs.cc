// Guards against a server that gets requests in the time for which it has asked
// to get none, and against one that is left out for good for a nonsensical
// time.

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "citronlane/routing/server_backoffs.h"
#include "platform/headers.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::optional<double> ReadRetryAfter(const std::vector<HttpHeader>& headers,
                                     int status = 503) {
  return platform::ReadReply(status, headers).retry_after_seconds_;
}

}  // namespace

TEST_CASE("a server that refused with Retry-After") {
  ServerBackoffs backoffs;
  CHECK(backoffs.MayCall("s", kStart));
  CHECK(backoffs.OnRefused("s", 2, kStart) == Duration(seconds(2)));

  SECTION("gets no call until the time is over") {
    CHECK_FALSE(backoffs.MayCall("s", kStart));
    CHECK_FALSE(backoffs.MayCall("s", kStart + milliseconds(1999)));
    CHECK(backoffs.Remaining("s", kStart + milliseconds(500)) ==
          milliseconds(1500));
    CHECK(backoffs.MayCall("s", kStart + seconds(2)));
    CHECK(backoffs.MayCall("other", kStart));
    CHECK(backoffs.InBackoff(kStart) == std::vector<std::string>{"s"});
    CHECK(backoffs.InBackoff(kStart + seconds(2)).empty());
  }
  SECTION("is left out for the longest time of all replies") {
    CHECK_FALSE(backoffs.OnRefused("s", 0.5, kStart + milliseconds(100)));
    CHECK(backoffs.Remaining("s", kStart) == seconds(2));
    CHECK_FALSE(backoffs.OnRefused("s", 2, kStart + seconds(1)));
    CHECK(backoffs.Remaining("s", kStart) == seconds(3));
  }
  SECTION("may ask again afterwards") {
    CHECK(backoffs.OnRefused("s", 0.25, kStart + seconds(2)) ==
          Duration(milliseconds(250)));
  }
  SECTION("does not change the time of another one") {
    CHECK(backoffs.OnRefused("t", 1, kStart + seconds(1)));
    CHECK(backoffs.InBackoff(kStart + seconds(1)) ==
          std::vector<std::string>{"s", "t"});
    CHECK(backoffs.OnRefused("t", 1, kStart + seconds(3)));
    CHECK(backoffs.InBackoff(kStart + seconds(3)) ==
          std::vector<std::string>{"t"});
  }
}

TEST_CASE("a Retry-After of any length") {
  ServerBackoffs backoffs;

  SECTION("is bounded") {
    CHECK(backoffs.OnRefused("s", 1e300, kStart) ==
          ServerBackoffs::kMaxBackoff);
    CHECK(backoffs.MayCall("s", kStart + ServerBackoffs::kMaxBackoff));
  }
  SECTION("of no time is none") {
    CHECK_FALSE(backoffs.OnRefused("s", 0, kStart));
    CHECK_FALSE(backoffs.OnRefused("s", 1e-300, kStart));
    CHECK(backoffs.MayCall("s", kStart));
  }
}

TEST_CASE("the Retry-After of a reply") {
  SECTION("is a number of seconds") {
    CHECK(ReadRetryAfter({{"Retry-After", "3"}}) == 3.0);
    CHECK(ReadRetryAfter({{"retry-after", " 0.25 "}}) == 0.25);
    CHECK(ReadRetryAfter({{"Retry-After", "1e300"}}) == 1e300);
    CHECK_FALSE(ReadRetryAfter({}));
  }
  SECTION("is the longest one if it is there twice") {
    CHECK(ReadRetryAfter({{"Retry-After", "3"}, {"Retry-After", "1"}}) == 3.0);
    CHECK(ReadRetryAfter({{"Retry-After", "x"}, {"Retry-After", "1"}}) == 1.0);
  }
  SECTION("that can't be read is none") {
    for (const char* text : {"", "-1", "nan", "inf", "2 s", "soon",
                             "Fri, 31 Dec 1999 23:59:59 GMT"}) {
      INFO(text);
      CHECK_FALSE(ReadRetryAfter({{"Retry-After", text}}));
    }
  }
  SECTION("counts only in a refusal for want of capacity") {
    CHECK_FALSE(ReadRetryAfter({{"Retry-After", "3"}}, 200));
    CHECK_FALSE(ReadRetryAfter({{"Retry-After", "3"}}, 421));
    CHECK_FALSE(ReadRetryAfter({{"Retry-After", "3"}}, 500));
  }
}

}  // namespace citronlane
