// Guards against the same request, sent by several client accounts, that ends
// three servers under each account before it is found.

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "citronlane/routing/crash_ledger.h"
#include "citronlane/serving/request_fingerprint.h"

namespace citronlane {

TEST_CASE("a request that ends servers for several accounts") {
  CrashLedger ledger;
  TimePoint now{std::chrono::hours(1)};
  const auto content_of = [](const std::string& account) {
    return FingerprintOf("GET", "h", "/ends-servers", account, "");
  };
  for (const std::string account : {"mill", "yarn", "loom"}) {
    now += std::chrono::seconds(1);
    ledger.OnCrash({"server of " + account, now, {content_of(account)}}, now);
  }
  for (const std::string account : {"mill", "yarn", "loom"}) {
    const RequestFeature content = ContentFeature(content_of(account));
    CAPTURE(account);
    CHECK((ledger.IsBlocked(content, now) || ledger.NeedsTrial(content, now)));
  }
}

}  // namespace citronlane
