#include <catch2/catch.hpp>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/verdict.h"

namespace citronlane {

TEST_CASE("verdict") {
  SECTION("never decreases") {
    CHECK(RaiseVerdict(Verdict::kRan, Verdict::kNotRun) == Verdict::kRan);
    CHECK(RaiseVerdict(Verdict::kMayHaveRun, Verdict::kNotRun) ==
          Verdict::kMayHaveRun);
  }
  SECTION("rises") {
    CHECK(RaiseVerdict(Verdict::kNotRun, Verdict::kMayHaveRun) ==
          Verdict::kMayHaveRun);
  }
}

TEST_CASE("refusal reasons") {
  SECTION("have stable names and statuses") {
    CHECK(ToString(RefusalReason::kFairShare) == "fair_share");
    CHECK(HttpStatus(RefusalReason::kFairShare) == 429);
  }
}

}  // namespace citronlane
