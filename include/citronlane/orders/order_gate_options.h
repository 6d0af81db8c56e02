#ifndef CITRONLANE_ORDERS_ORDER_GATE_OPTIONS_H_
#define CITRONLANE_ORDERS_ORDER_GATE_OPTIONS_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// Time limits on which the safety of an OrderGate depends.
struct OrderGateOptions {
  /// Longest time from the proposal of an order to the end of its connection.
  Duration validity_ = std::chrono::seconds(2);
  /// Longest time for which a partitioned leader still assumes that it leads.
  Duration leader_lease_ = std::chrono::milliseconds(250);
  /// Largest difference between the rates of two clocks, as a fraction.
  double clock_rate_error_ = 0.01;
};

}  // namespace citronlane

#endif  // CITRONLANE_ORDERS_ORDER_GATE_OPTIONS_H_
