#ifndef CITRONLANE_GATEWAY_GATEWAY_METRICS_H_
#define CITRONLANE_GATEWAY_GATEWAY_METRICS_H_

#include <string>

#include "citronlane/gateway/gateway_events.h"

namespace citronlane {

class Gateway;
class Metrics;

/// Records a gateway's events as metrics. Thread safe.
class GatewayMetrics {
 public:
  /// `metrics` must outlive this.
  explicit GatewayMetrics(Metrics* metrics);

  /// Returns hooks that update the metrics. They must not be called after this
  /// object is destroyed.
  GatewayEvents Events();

  /// Updates the gauges from `gateway` and returns the text for /metrics.
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
