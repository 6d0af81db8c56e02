#ifndef CITRONLANE_FLEET_IN_FORCE_TRACKER_H_
#define CITRONLANE_FLEET_IN_FORCE_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "citronlane/base/time.h"
#include "citronlane/fleet/in_force_status.h"

namespace citronlane {

/// Determines when a committed version is in force at every gateway: each
/// gateway that may hold a lease on an older version has reported the new one,
/// or these leases have expired. Call the On... functions in log order as
/// entries are applied. Pure: no I/O, no clock. Not thread safe.
class InForceTracker {
 public:
  /// `lease` is the lease's length on a true clock; a clock that is slow by
  /// ConfigLease::kClockRateError is allowed for. `start` is when this process
  /// began to observe the fleet: leases granted before it are covered by
  /// waiting for one lease's length.
  InForceTracker(Duration lease, TimePoint start);

  /// Records a registered gateway, which may hold a lease from now on.
  void OnRegistered(std::string_view gateway, uint64_t incarnation);
  /// Records the removal of a gateway. It may hold its lease for one more
  /// lease's length.
  void OnRemoved(std::string_view gateway, uint64_t incarnation, TimePoint now);
  /// Records a committed version. Leases on older ones end a lease's length
  /// after `now`.
  void OnCommitted(uint64_t version, TimePoint now);
  /// Records that the gateway has this version, or a higher one, in force.
  void OnReport(std::string_view gateway,
                uint64_t incarnation,
                uint64_t version);

  /// Status of a version. A version below the tracked ones counts as in force
  /// once a lease's length has passed since `start`; one above the newest
  /// committed version does not.
  InForceStatus StatusOf(uint64_t version, TimePoint now) const;

 private:
  using Holder = std::pair<std::string, uint64_t>;
  struct Pending {
    TimePoint leases_end_{};
    std::set<Holder> silent_;
  };

  const Duration lease_;
  const TimePoint start_;
  uint64_t newest_ = 0;
  std::set<Holder> registered_;
  /// Removed gateways that may still hold a lease, and when it ends.
  std::map<Holder, TimePoint> removed_;
  std::map<uint64_t, Pending> pending_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_IN_FORCE_TRACKER_H_
