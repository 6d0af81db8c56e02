#ifndef CITRONLANE_TRANSPORT_DETAIL_CONTROL_LINK_H_
#define CITRONLANE_TRANSPORT_DETAIL_CONTROL_LINK_H_

#include "citronlane/transport/control_client_options.h"
#include "citronlane/transport/detail/call_tracker.h"
#include "citronlane/transport/detail/control_channels.h"
#include "citronlane/transport/detail/timer_queue.h"

namespace citronlane {

/// State shared by the components of a ControlClient.
struct ControlLink {
  explicit ControlLink(const ControlClientOptions& options)
      : options_(options), channels_(options.addresses_, options.tls_) {
    gateway_.set_name(options.gateway_);
    gateway_.set_incarnation(options.incarnation_);
    gateway_.set_failure_domain(options.failure_domain_);
  }

  const ControlClientOptions options_;
  wire::GatewayId gateway_;
  ControlChannels channels_;
  CallTracker calls_;
  /// The client's thread. Everything runs on it, except the start of claims and
  /// finishes and the callbacks of gRPC.
  TimerQueue timers_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_CONTROL_LINK_H_
