#ifndef CITRONLANE_ADMISSION_DETAIL_SPEND_SHARE_H_
#define CITRONLANE_ADMISSION_DETAIL_SPEND_SHARE_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// How much this gateway may spend of one class's hourly limit: a leased
/// amount and, once the lease has expired, a low floor rate, so that gateways
/// that can not reach the control VMs stay within the limit together. Amounts
/// are in micro-units. Not thread safe.
class SpendShare {
 public:
  /// `floor_per_second` is the rate until the first lease. Starts with the
  /// savings of a minute.
  SpendShare(double floor_per_second, TimePoint now);

  /// Replaces the previous lease; its unspent amount is lost, its overdraft is
  /// carried over.
  void Lease(TimePoint now, double amount, TimePoint valid_until);
  /// Takes the cost; returns false and takes nothing if it is not available.
  bool TrySpend(TimePoint now, double cost);
  /// Corrects an earlier cost by the difference between the actual cost and it.
  void Settle(TimePoint now, double difference);

  /// Amount that can be spent now; negative for an overdraft.
  double Available(TimePoint now) const;
  /// Fraction of the lease that is left, 0 to 1; 0 without a lease in force.
  double LeaseLeft(TimePoint now) const;
  /// Time until `cost` may be available: the end of the lease, or until the
  /// floor has refilled. Zero when the floor rate is 0.
  Duration TimeToCover(TimePoint now, double cost) const;

 private:
  double FloorAt(TimePoint now) const;

  double amount_ = 0;
  double spent_ = 0;
  TimePoint valid_until_{};
  double floor_per_second_;
  /// Savings of the floor at `floor_at_`; negative for an overdraft.
  double floor_savings_ = 0;
  TimePoint floor_at_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_SPEND_SHARE_H_
