#ifndef CITRONLANE_FLEET_POOL_PARTITION_H_
#define CITRONLANE_FLEET_POOL_PARTITION_H_

#include <string>
#include <tuple>
#include <utility>

namespace citronlane {

/// The servers of a service that one gateway owns: those of one failure domain,
/// or all servers that are in no partition of a failure domain. A small pool
/// has only the latter.
struct PoolPartition {
  PoolPartition() = default;
  /// The partition without a failure domain.
  PoolPartition(std::string service)  // NOLINT(google-explicit-constructor)
      : service_(std::move(service)) {}
  PoolPartition(const char* service)  // NOLINT(google-explicit-constructor)
      : service_(service) {}
  PoolPartition(std::string service, std::string failure_domain)
      : service_(std::move(service)),
        failure_domain_(std::move(failure_domain)) {}

  /// Whether it holds the servers of one failure domain only.
  bool IsDomainPartition() const { return !failure_domain_.empty(); }
  /// Name for logs, and the key by which a partition is hashed.
  std::string Name() const {
    return IsDomainPartition() ? service_ + "/" + failure_domain_ : service_;
  }

  friend bool operator==(const PoolPartition& a, const PoolPartition& b) {
    return a.service_ == b.service_ && a.failure_domain_ == b.failure_domain_;
  }
  friend bool operator!=(const PoolPartition& a, const PoolPartition& b) {
    return !(a == b);
  }
  friend bool operator<(const PoolPartition& a, const PoolPartition& b) {
    return std::tie(a.service_, a.failure_domain_) <
           std::tie(b.service_, b.failure_domain_);
  }

  std::string service_;
  /// Empty for the servers of all failure domains that have no partition.
  std::string failure_domain_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOL_PARTITION_H_
