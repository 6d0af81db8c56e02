#ifndef CITRONLANE_CONTROL_POOL_FEED_H_
#define CITRONLANE_CONTROL_POOL_FEED_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/division_policy.h"
#include "citronlane/fleet/fleet_load.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/fleet/pooled_service.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

class EventLog;

/// The leader's division of pools and the owners of their partitions, which
/// follow the gateways that are connected and what these carry. Logs each
/// change that the load has caused. Not thread safe.
class PoolFeed {
 public:
  /// `log` must outlive the feed.
  explicit PoolFeed(EventLog* log) : log_(log) {}

  void StartLeading(TimePoint now, uint64_t term);
  /// See PoolAssignment::Adopt().
  void Adopt(uint64_t number, const PoolAssignment::Owners& owners);
  /// Call at each change and every 200 ms while this node leads. `servers` is
  /// nothing until the server list was read; until then partitions are kept.
  void Update(absl::Span<const PooledService> services,
              const std::optional<std::vector<BackendServer>>& servers,
              absl::Span<const FleetLoad::Gateway> gateways,
              TimePoint now);

  uint64_t number() const { return assignment_.number(); }
  const PoolAssignment::Owners& owners() const { return assignment_.owners(); }

 private:
  std::vector<PoolPartition> HeldPartitions(
      absl::Span<const PooledService> services) const;
  void Log(const DivisionPolicy::Change& change);

  EventLog* const log_;
  TimePoint leading_since_;
  PoolAssignment assignment_;
  DivisionPolicy policy_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_POOL_FEED_H_
