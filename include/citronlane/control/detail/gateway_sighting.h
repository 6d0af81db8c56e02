#ifndef CITRONLANE_CONTROL_DETAIL_GATEWAY_SIGHTING_H_
#define CITRONLANE_CONTROL_DETAIL_GATEWAY_SIGHTING_H_

#include <cstdint>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// What a gateway's last lease renewal said to one control VM.
struct GatewaySighting {
  uint64_t incarnation_ = 0;
  std::string failure_domain_;
  /// Version in force there, and when it was first named here.
  uint64_t version_ = 0;
  TimePoint since_{};
  TimePoint seen_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_GATEWAY_SIGHTING_H_
