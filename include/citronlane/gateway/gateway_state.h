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

/// Whether a gateway takes new work: its configuration, the lease on it, and
/// the steps of the shutdown. Thread safe.
class GatewayState {
 public:
  /// Takes a higher version; false and no change when it is not higher.
  bool ApplyConfig(std::shared_ptr<const ClusterConfig> config);
  /// Configuration in force; null when there is none.
  std::shared_ptr<const ConfigView> config() const;
  uint64_t config_version() const;

  /// The configuration is confirmed until then; never moves back.
  void ExtendLease(TimePoint until);

  /// First step of the shutdown: not ready, but new work is still taken.
  void BeginDrain() { draining_ = true; }
  /// Second step: new work is refused.
  void RefuseNewWork() { refusing_ = true; }
  bool draining() const { return draining_; }

  /// Why new work is refused now; nothing when it is taken.
  std::optional<RefusalReason> Refuses(TimePoint now) const;
  /// What the balancer is told.
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
