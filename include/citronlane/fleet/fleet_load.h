#ifndef CITRONLANE_FLEET_FLEET_LOAD_H_
#define CITRONLANE_FLEET_FLEET_LOAD_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/gateway_load.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/pool_partition.h"

namespace citronlane {

/// What gateways carry, by their reports of about the last seconds, and what of
/// it the partitions cost that they own. Pure. Immutable, so thread safe.
class FleetLoad {
 public:
  struct Gateway {
    PoolAssignment::Gateway gateway_;
    /// What it reported last, and when that came; nothing before a report.
    GatewayLoad load_{};
    std::optional<TimePoint> reported_{};
  };
  /// A use of a VM, or what it provides.
  struct Amount {
    /// Cores.
    double processor_ = 0;
    /// Bytes per second.
    double link_ = 0;
  };

  /// Reports that came before `since` are ignored. `gateways` and `owners` must
  /// outlive the object.
  FleetLoad(absl::Span<const Gateway> gateways,
            const PoolAssignment::Owners& owners,
            TimePoint since);

  /// A gateway with a usable report; null without one.
  const Gateway* Find(const std::string& endpoint) const;
  /// All gateways with a usable report.
  const std::vector<const Gateway*>& known() const { return known_; }
  /// Partitions that the gateway owns, in order.
  std::vector<PoolPartition> PartitionsOf(const std::string& endpoint) const;

  static Amount CapacityOf(const Gateway& gateway);
  static Amount UsedBy(const Gateway& gateway);
  /// What a gateway uses that owns nothing: the median of those.
  const Amount& base() const { return base_; }
  /// How late the loops of those are.
  Duration base_lag() const { return base_lag_; }
  /// What one of its partitions costs the gateway; 0 if it has none.
  Amount CostOfPartition(const Gateway& gateway) const;

 private:
  void ReadBase();

  std::map<std::string, std::vector<PoolPartition>> owned_;
  std::map<std::string, const Gateway*> by_endpoint_;
  std::vector<const Gateway*> known_;
  Amount base_;
  Duration base_lag_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_FLEET_LOAD_H_
