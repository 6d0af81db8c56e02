#ifndef CITRONLANE_GATEWAY_CLAIM_QUERY_H_
#define CITRONLANE_GATEWAY_CLAIM_QUERY_H_

#include <string>

namespace citronlane {

/// Identifies one request with an Idempotency-Key across all gateways.
struct ClaimQuery {
  std::string account_;
  /// The caller's Idempotency-Key.
  std::string key_;
  /// SHA-256 of method, path with query, and body; 32 bytes.
  std::string body_digest_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CLAIM_QUERY_H_
