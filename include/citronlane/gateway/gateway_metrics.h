#ifndef CITRONLANE_GATEWAY_GATEWAY_METRICS_H_
#define CITRONLANE_GATEWAY_GATEWAY_METRICS_H_

#include <string>

#include "citronlane/gateway/gateway_events.h"

namespace citronlane {

class Gateway;
class Metrics;

/// Counts a gateway's events in the process's metrics. Thread safe.
class GatewayMetrics {
 public:
  /// `metrics` must outlive this.
  explicit GatewayMetrics(Metrics* metrics);

  /// Returns hooks that count; they must not be called after this is gone.
  GatewayEvents Events();

  /// Returns the text for /metrics, with the gauges of `gateway` as they are
  /// now.
  std::string Text(const Gateway& gateway);

 private:
  void OnRequest(const RequestSummary& summary);
  void OnRefusal(const RefusalEntry& entry, bool admitted);
  void CountTarget(const RequestSummary& summary);
  void CountCosts(const RequestSummary& summary);

  Metrics* const metrics_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_METRICS_H_
