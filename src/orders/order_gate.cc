#include "citronlane/orders/order_gate.h"

namespace citronlane {

OrderGate::OrderGate(const OrderGateOptions& options) : options_(options) {}

void OrderGate::OnLeadershipGained(uint64_t number, TimePoint now) {
  number_ = number;
  leading_since_ = now;
}

void OrderGate::OnLeadershipLost() {
  number_ = 0;
}

bool OrderGate::MayPropose(bool checks_fencing, TimePoint now) const {
  if (number_ == 0) {
    return false;
  }
  if (checks_fencing || number_ == 1) {
    return true;
  }
  const Duration wait = options_.leader_lease_ + options_.validity_;
  const auto safe_wait = std::chrono::duration_cast<Duration>(
      wait * (1.0 + 2 * options_.clock_rate_error_));
  return now >= leading_since_ + safe_wait;
}

std::optional<TimePoint> OrderGate::SendUntil(uint64_t number,
                                              TimePoint proposed,
                                              TimePoint now,
                                              bool has_lease) const {
  const TimePoint until = proposed + options_.validity_;
  if (number == 0 || number != number_ || !has_lease || now >= until) {
    return std::nullopt;
  }
  return until;
}

}  // namespace citronlane
