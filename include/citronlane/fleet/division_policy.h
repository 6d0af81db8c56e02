#ifndef CITRONLANE_FLEET_DIVISION_POLICY_H_
#define CITRONLANE_FLEET_DIVISION_POLICY_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/fleet_load.h"
#include "citronlane/fleet/gateway_load.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/pool_division.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/fleet/pooled_service.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

/// Decides by the measured load of owners which pools are divided into
/// partitions whatever their number of servers, and which partitions move to
/// another gateway. The leader runs it. An overload must last before it acts,
/// and changes are few in a time whatever the load does. It assigns nothing
/// itself; see PoolAssignment. Pure: no I/O, no clock. Not thread safe.
class DivisionPolicy {
 public:
  /// At most this many changes are made in any minute.
  static constexpr size_t kMaxChangesPerMinute = 6;

  struct Input {
    absl::Span<const PooledService> services_;
    absl::Span<const BackendServer> servers_;
    absl::Span<const FleetLoad::Gateway> gateways_;
    const PoolAssignment::Owners& owners_;
  };

  /// A decision and what it was made by.
  struct Change {
    enum class Kind { kDivide, kMerge, kMove };
    Kind kind_ = Kind::kDivide;
    /// The partition that moves; else the pool's without a failure domain.
    PoolPartition partition_;
    /// The owner that is relieved; empty for a merge.
    std::string owner_;
    /// The next owner; empty unless the partition moves.
    std::string next_owner_;
    /// Load of the owner; for a merge, the one expected of the next owner.
    GatewayLoad load_{};
    /// How long the load has been so.
    Duration lasted_{};
  };

  /// This node became the leader: it knows no load yet.
  void StartLeading(TimePoint now);
  /// Takes the present state and returns the change that is due now, if any,
  /// which counts as made. To be called about five times a second.
  std::optional<Change> Update(const Input& input, TimePoint now);
  /// How to divide the pools now, for DividePools().
  const PoolDivisions& divisions() const { return divisions_; }

 private:
  using Times = std::map<std::string, TimePoint>;
  struct Overload {
    TimePoint since_;
    TimePoint last_report_;
  };

  void NoteOverloads(const Input& input, const FleetLoad& loads);
  void HoldDivisions(const Input& input, const FleetLoad& loads, TimePoint now);
  std::optional<Change> Relieve(const Input& input,
                                const FleetLoad& loads,
                                TimePoint now);
  std::optional<Change> Divide(const Input& input,
                               const FleetLoad& loads,
                               const std::string& owner);
  std::optional<Change> Move(const Input& input,
                             const FleetLoad& loads,
                             const std::string& owner,
                             TimePoint now);
  std::optional<Change> Merge(const Input& input,
                              const FleetLoad& loads,
                              TimePoint now);
  bool MayChange(TimePoint now);

  TimePoint leading_since_;
  /// Time of the last update; nothing before the first one.
  std::optional<TimePoint> updated_;
  /// Overloaded owners by endpoint.
  std::map<std::string, Overload> overloads_;
  /// Until when the load of a relieved owner is that of before.
  Times settling_until_;
  /// Since when a single owner could carry a divided pool, by service.
  Times low_since_;
  /// Since when nothing is known of a divided pool's owners, by service.
  Times unknown_since_;
  PoolDivisions divisions_;
  /// Pools that were divided here because of their load.
  std::set<std::string> divided_here_;
  /// When a partition was moved, by its name.
  Times moved_;
  /// Times of the changes of the last minute.
  std::deque<TimePoint> changes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_DIVISION_POLICY_H_
