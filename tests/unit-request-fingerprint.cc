#include <catch2/catch.hpp>

#include "citronlane/serving/request_fingerprint.h"

namespace citronlane {

TEST_CASE("request fingerprint") {
  const RequestFingerprint request =
      FingerprintOf("POST", "h", "/chat/x?q=1", "mill", "hello");
  CHECK(request.digest_.size() == 32);
  CHECK(request.body_bytes_ == 5);

  SECTION("attempts with the same content share it") {
    CHECK(FingerprintOf("POST", "h", "/chat/x?q=1", "mill", "hello") ==
          request);
  }
  SECTION("each part of the content matters") {
    CHECK_FALSE(FingerprintOf("PUT", "h", "/chat/x?q=1", "mill", "hello") ==
                request);
    CHECK_FALSE(FingerprintOf("POST", "h", "/chat/x?q=2", "mill", "hello") ==
                request);
    CHECK_FALSE(FingerprintOf("POST", "h", "/chat/x?q=1", "yarn", "hello") ==
                request);
    CHECK_FALSE(FingerprintOf("POST", "h", "/chat/x?q=1", "mill", "hallo") ==
                request);
  }
  SECTION("requests for other hosts are other requests") {
    CHECK_FALSE(FingerprintOf("POST", "i", "/chat/x?q=1", "mill", "hello") ==
                request);
  }
  SECTION("text does not move from one part to the next") {
    CHECK_FALSE(FingerprintOf("POST", "h", "/chat/x?q=1m", "ill", "hello") ==
                request);
  }
}

}  // namespace citronlane
