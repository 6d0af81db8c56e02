#ifndef CITRONLANE_SERVING_REQUEST_FINGERPRINT_H_
#define CITRONLANE_SERVING_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/serving/request_feature.h"

namespace citronlane {

/// Identifies the content of a request: attempts with the same method, host,
/// target, client account and body have the same fingerprint, whatever their
/// ids.
struct RequestFingerprint {
  /// 32 hexadecimal digits. Neither the target nor the body can be recovered.
  std::string digest_;
  /// Size of the body: requests of other sizes differ without hashing.
  uint64_t body_bytes_ = 0;
  /// Ids of prompt segments that other requests may have, too. Not compared:
  /// equal contents have equal segments.
  std::vector<std::string> segments_;
  /// Sent as the trial of a suspended content. Not compared.
  bool is_trial_ = false;

  bool operator==(const RequestFingerprint& other) const {
    return digest_ == other.digest_ && body_bytes_ == other.body_bytes_;
  }
};

/// Hashes a request. `host` is the Host header as sent, `target` includes the
/// query; `account` is empty for requests without a client account. Thread
/// safe.
RequestFingerprint FingerprintOf(std::string_view method,
                                 std::string_view host,
                                 std::string_view target,
                                 std::string_view account,
                                 std::string_view body);

/// The feature that only requests with the same content have. Thread safe.
RequestFeature ContentFeature(const RequestFingerprint& request);
/// The feature of requests with a prompt segment. Thread safe.
RequestFeature SegmentFeature(std::string_view segment);

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_REQUEST_FINGERPRINT_H_
