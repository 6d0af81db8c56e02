#ifndef CITRONLANE_CONTROL_DETAIL_GATEWAY_OBSERVATION_H_
#define CITRONLANE_CONTROL_DETAIL_GATEWAY_OBSERVATION_H_

#include <cstdint>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// State of a gateway as one control VM knows it from its registration and its
/// last lease renewal.
struct GatewayObservation {
  uint64_t incarnation_ = 0;
  std::string failure_domain_;
  /// Configuration version in force at the gateway, and when this VM first
  /// received a report of it.
  uint64_t version_ = 0;
  TimePoint since_{};
  /// Last registration or lease renewal.
  TimePoint last_contact_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_GATEWAY_OBSERVATION_H_
