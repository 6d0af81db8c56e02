#ifndef CITRONLANE_RELAY_POOL_REPEAT_BUDGET_H_
#define CITRONLANE_RELAY_POOL_REPEAT_BUDGET_H_

#include <cstddef>
#include <string>

#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/routing/repeat_budget.h"

namespace citronlane {

class FleetView;

/// Bounds the repeats that the owner of a partition of a stage pool sends to
/// its servers. Each partition has its share of the owners' part of the
/// service's allowance. A gateway has it only after it has owned the partition
/// for a window without a break, since an earlier owner may have used it. Time
/// is passed in. Not thread safe.
class PoolRepeatBudget {
 public:
  /// `endpoint` is this gateway's, by which `view` names owners; `view` must
  /// outlive the object.
  PoolRepeatBudget(PoolPartition partition,
                   std::string endpoint,
                   const RepeatBudget::Options& options,
                   const FleetView* view,
                   TimePoint now);

  /// A task was sent for the first time.
  void OnFirstSend(TimePoint now) { budget_.OnFirstSend(now); }
  /// Takes one repeat; false when none is left.
  bool TryTake(TimePoint now);
  /// Number of shares into which the allowance is divided.
  size_t Shares() const;
  RepeatBudget* budget() { return &budget_; }
  /// Checks who owns the partition. Call after each change of the owners.
  void Tick(TimePoint now);

 private:
  const PoolPartition partition_;
  const std::string endpoint_;
  const FleetView* const view_;
  RepeatBudget budget_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_POOL_REPEAT_BUDGET_H_
