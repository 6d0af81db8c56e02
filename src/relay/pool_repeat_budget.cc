#include "citronlane/relay/pool_repeat_budget.h"

#include <utility>

#include "citronlane/relay/fleet_view.h"

namespace citronlane {

PoolRepeatBudget::PoolRepeatBudget(PoolPartition partition,
                                   std::string endpoint,
                                   const RepeatBudget::Options& options,
                                   const FleetView* view,
                                   TimePoint now)
    : partition_(std::move(partition)),
      endpoint_(std::move(endpoint)),
      view_(view),
      budget_(options, now) {}

bool PoolRepeatBudget::TryTake(TimePoint now) {
  Tick(now);
  return budget_.TryTake(now, Shares());
}

// One more share is kept back, because two gateways run a partition for a
// moment when its owner changes.
size_t PoolRepeatBudget::Shares() const {
  return view_->PartitionsOf(partition_.service_).size() + 1;
}

void PoolRepeatBudget::Tick(TimePoint now) {
  if (!view_->IsOwner(partition_, endpoint_)) {
    budget_.Restart(now);
  }
}

}  // namespace citronlane
