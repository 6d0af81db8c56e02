#ifndef CITRONLANE_FLEET_POOL_PART_H_
#define CITRONLANE_FLEET_POOL_PART_H_

#include <string>
#include <tuple>
#include <utility>

namespace citronlane {

/// Servers of one service that one gateway decides for: those of a failure
/// domain, or all that are in no part of their own. Small pools have just the
/// latter.
struct PoolPart {
  PoolPart() = default;
  /// The part without a failure domain.
  PoolPart(std::string service)  // NOLINT(google-explicit-constructor)
      : service_(std::move(service)) {}
  PoolPart(const char* service)  // NOLINT(google-explicit-constructor)
      : service_(service) {}
  PoolPart(std::string service, std::string failure_domain)
      : service_(std::move(service)),
        failure_domain_(std::move(failure_domain)) {}

  /// Whether it holds the servers of one failure domain only.
  bool IsOfDomain() const { return !failure_domain_.empty(); }
  /// For logs, and for what is hashed by part.
  std::string Name() const {
    return IsOfDomain() ? service_ + "/" + failure_domain_ : service_;
  }

  friend bool operator==(const PoolPart& a, const PoolPart& b) {
    return a.service_ == b.service_ && a.failure_domain_ == b.failure_domain_;
  }
  friend bool operator!=(const PoolPart& a, const PoolPart& b) {
    return !(a == b);
  }
  friend bool operator<(const PoolPart& a, const PoolPart& b) {
    return std::tie(a.service_, a.failure_domain_) <
           std::tie(b.service_, b.failure_domain_);
  }

  std::string service_;
  /// Empty: the servers of all domains that have no part.
  std::string failure_domain_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOL_PART_H_
