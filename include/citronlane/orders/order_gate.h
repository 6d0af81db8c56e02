#ifndef CITRONLANE_ORDERS_ORDER_GATE_H_
#define CITRONLANE_ORDERS_ORDER_GATE_H_

#include <cstdint>
#include <optional>

#include "citronlane/base/time.h"
#include "citronlane/orders/order_gate_options.h"

namespace citronlane {

/// Decides on a leader when an order may go out, so that an order under an old
/// fencing number never acts after one under a newer number. Engines that check
/// the number need only the number; for the others a new leader waits until
/// every order of an earlier one is over, and each order has a short life on a
/// connection of its own. Pure. Not thread safe.
class OrderGate {
 public:
  explicit OrderGate(const OrderGateOptions& options);

  /// This node leads since `now`, under this number.
  void OnLead(uint64_t number, TimePoint now);
  void OnLeadLost();

  /// Number of the present leadership; 0 for none.
  uint64_t number() const { return number_; }

  /// Whether an order to such an engine may be proposed now.
  bool MayPropose(bool checks_fencing, TimePoint now) const;

  /// Returns by when the connection of an order must be closed, when it may be
  /// sent: proposed at `proposed` under `number`, committed since, while the
  /// leader lease holds (`has_lease`). Nothing when it must not be sent.
  std::optional<TimePoint> SendUntil(uint64_t number,
                                     TimePoint proposed,
                                     TimePoint now,
                                     bool has_lease) const;

 private:
  const OrderGateOptions options_;
  uint64_t number_ = 0;
  TimePoint lead_since_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ORDERS_ORDER_GATE_H_
