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

/// Knows when a committed version is in force everywhere: every gateway that
/// may hold a lease on an older one has reported it, or those leases have run
/// out. Fed in log order with what is applied. Pure. Not thread safe.
class InForceTracker {
 public:
  /// `start` is when this process began to know the fleet; what happened
  /// before is covered by waiting one lease.
  InForceTracker(Duration lease, TimePoint start);

  void OnRegistered(std::string_view gateway, uint64_t incarnation);
  /// The gateway may hold its lease for one more length.
  void OnForgotten(std::string_view gateway,
                   uint64_t incarnation,
                   TimePoint now);
  void OnCommitted(uint64_t version, TimePoint now);
  /// The gateway says that the version is in force there.
  void OnReport(std::string_view gateway,
                uint64_t incarnation,
                uint64_t version);

  /// Versions below the tracked ones are long in force; one above the newest
  /// committed is not.
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
  /// Forgotten gateways that may hold a lease, with its end.
  std::map<Holder, TimePoint> forgotten_;
  std::map<uint64_t, Pending> pending_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_IN_FORCE_TRACKER_H_
