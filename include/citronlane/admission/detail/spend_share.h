#ifndef CITRONLANE_ADMISSION_DETAIL_SPEND_SHARE_H_
#define CITRONLANE_ADMISSION_DETAIL_SPEND_SHARE_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// What this gateway may spend of one class's hourly limit: a leased amount,
/// and a slow floor once the lease is over, so that gateways which cannot reach
/// control stay within the limit together. Not thread safe.
class SpendShare {
 public:
  /// `floor_per_second` holds until the first lease; a minute of it is saved.
  SpendShare(double floor_per_second, TimePoint now);

  /// A new lease replaces the last one with what was not spent of it.
  void Lease(TimePoint now, double amount, TimePoint valid_until);
  /// Takes the cost if the share covers it.
  bool TrySpend(TimePoint now, double cost);
  /// Corrects an earlier cost by the difference to the real one.
  void Settle(TimePoint now, double difference);

  /// What can be spent now.
  double Available(TimePoint now) const;
  /// Part of the lease that is left, 0 to 1; 0 after its end.
  double LeaseLeft(TimePoint now) const;
  /// Time until `cost` may be covered: the lease's end, or the floor's refill.
  Duration TimeToCover(TimePoint now, double cost) const;

 private:
  double FloorAt(TimePoint now) const;

  double amount_ = 0;
  double spent_ = 0;
  TimePoint valid_until_{};
  double floor_per_second_;
  /// What the floor had saved up at `floor_at_`; negative for an overdraft.
  double floor_saved_ = 0;
  TimePoint floor_at_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_SPEND_SHARE_H_
