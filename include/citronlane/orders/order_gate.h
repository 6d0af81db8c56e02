#ifndef CITRONLANE_ORDERS_ORDER_GATE_H_
#define CITRONLANE_ORDERS_ORDER_GATE_H_

#include <cstdint>
#include <optional>

#include "citronlane/base/time.h"
#include "citronlane/orders/order_gate_options.h"

namespace citronlane {

/// Decides on the leader when an order may be proposed and sent, so that an
/// order with an old fencing number never takes effect after one with a newer
/// number. Engines that check fencing numbers need no more than that. For the
/// others, a new leader waits until every order of earlier leaders has expired:
/// each order is sent on a connection of its own, which is closed when the
/// order's validity ends. It sends nothing itself. Time is passed in. Not
/// thread safe.
class OrderGate {
 public:
  explicit OrderGate(const OrderGateOptions& options);

  /// This node became the leader at `now`, with this fencing number.
  void OnLeadershipGained(uint64_t number, TimePoint now);
  /// This node is not the leader any more.
  void OnLeadershipLost();

  /// Fencing number of the current leadership; 0 when this node does not lead.
  uint64_t number() const { return number_; }

  /// Whether an order may be proposed now to an engine that checks fencing
  /// numbers, or to one that does not.
  bool MayPropose(bool checks_fencing, TimePoint now) const;

  /// Returns the time by which the connection of a committed order must be
  /// closed, or nullopt if the order must not be sent. It was proposed at
  /// `proposed` under `number`; `has_lease` is whether this node holds the
  /// leader lease now.
  std::optional<TimePoint> SendUntil(uint64_t number,
                                     TimePoint proposed,
                                     TimePoint now,
                                     bool has_lease) const;

 private:
  const OrderGateOptions options_;
  uint64_t number_ = 0;
  TimePoint leading_since_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ORDERS_ORDER_GATE_H_
