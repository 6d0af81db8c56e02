#include "citronlane/admission/detail/spend_share.h"

#include <algorithm>

namespace citronlane {
namespace {

/// Floor rate after the end of a lease, relative to the rate of the lease.
constexpr double kFloorRateRatio = 0.1;
/// Upper bound of the floor's savings, in seconds of its rate.
constexpr double kFloorBurstSeconds = 60;
constexpr Duration kMinLease = std::chrono::seconds(1);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

SpendShare::SpendShare(double floor_per_second, TimePoint now)
    : floor_per_second_(floor_per_second),
      floor_savings_(kFloorBurstSeconds * floor_per_second),
      floor_at_(now) {}

void SpendShare::Lease(TimePoint now, double amount, TimePoint valid_until) {
  const Duration length = std::max(kMinLease, valid_until - now);
  // An overdraft caused by late settlements is carried over.
  spent_ = std::max(0.0, spent_ - amount_);
  amount_ = amount;
  valid_until_ = valid_until;
  floor_per_second_ = kFloorRateRatio * amount / Seconds(length);
  floor_savings_ = 0;
  floor_at_ = valid_until;
}

double SpendShare::FloorAt(TimePoint now) const {
  const double seconds = Seconds(std::max(Duration::zero(), now - floor_at_));
  return std::min(floor_savings_ + seconds * floor_per_second_,
                  kFloorBurstSeconds * floor_per_second_);
}

double SpendShare::Available(TimePoint now) const {
  return now < valid_until_ ? amount_ - spent_ : FloorAt(now);
}

bool SpendShare::TrySpend(TimePoint now, double cost) {
  if (Available(now) < cost) {
    return false;
  }
  if (now < valid_until_) {
    spent_ += cost;
  } else {
    floor_savings_ = FloorAt(now) - cost;
    floor_at_ = now;
  }
  return true;
}

void SpendShare::Settle(TimePoint now, double difference) {
  if (now < valid_until_) {
    spent_ += difference;
  } else {
    floor_savings_ -= difference;
  }
}

double SpendShare::LeaseLeft(TimePoint now) const {
  if (now >= valid_until_ || amount_ <= 0) {
    return 0;
  }
  return std::clamp((amount_ - spent_) / amount_, 0.0, 1.0);
}

Duration SpendShare::TimeToCover(TimePoint now, double cost) const {
  if (now < valid_until_) {
    return valid_until_ - now;
  }
  if (floor_per_second_ <= 0) {
    return Duration::zero();
  }
  const double missing = std::max(0.0, cost - FloorAt(now));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(missing / floor_per_second_));
}

}  // namespace citronlane
