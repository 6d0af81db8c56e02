#ifndef CITRONLANE_ORDERS_ORDER_GATE_OPTIONS_H_
#define CITRONLANE_ORDERS_ORDER_GATE_OPTIONS_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// Times that an OrderGate relies on.
struct OrderGateOptions {
  /// Longest time from the proposal of an order to the end of its connection.
  Duration validity_ = std::chrono::seconds(2);
  /// Longest time a leader that was cut off believes that it leads.
  Duration leader_lease_ = std::chrono::milliseconds(250);
  /// How far clocks may run apart, as a share.
  double clock_rate_error_ = 0.01;
};

}  // namespace citronlane

#endif  // CITRONLANE_ORDERS_ORDER_GATE_OPTIONS_H_
