#ifndef CITRONLANE_GATEWAY_GATEWAY_STATE_H_
#define CITRONLANE_GATEWAY_GATEWAY_STATE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"

namespace citronlane {

class ConfigView;
struct ClusterConfig;

/// Decides whether a gateway accepts new requests, from its configuration, the
/// lease on it and the phase of the shutdown. Thread safe.
class GatewayState {
 public:
  /// Applies `config` if its version is higher than the current one; otherwise
  /// returns false and changes nothing. Precondition: not null.
  bool ApplyConfig(std::shared_ptr<const ClusterConfig> config);
  /// Returns the configuration in force, or null before the first one.
  std::shared_ptr<const ConfigView> config() const;
  /// Returns the version in force, or 0 before the first one.
  uint64_t config_version() const;

  /// Extends the lease to `until`; an earlier time is ignored.
  void ExtendLease(TimePoint until);

  /// First phase of the shutdown: not ready, but new requests are accepted.
  void BeginDrain() { draining_ = true; }
  /// Second phase of the shutdown: new requests are refused.
  void RefuseNewWork() { refusing_ = true; }
  bool draining() const { return draining_; }

  /// Returns the reason to refuse new requests, or nothing to accept them.
  std::optional<RefusalReason> Refuses(TimePoint now) const;
  /// Whether the load balancer should send requests here.
  bool Ready(TimePoint now) const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ConfigView> config_;
  std::atomic<int64_t> lease_until_us_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> refusing_{false};
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_STATE_H_
