#ifndef CITRONLANE_FLEET_IN_FORCE_STATUS_H_
#define CITRONLANE_FLEET_IN_FORCE_STATUS_H_

#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// Whether a configuration version is in force at every gateway, and what is
/// still missing for that.
struct InForceStatus {
  bool in_force_ = false;
  /// Gateways that have not reported the version. If the version is in force
  /// nevertheless, their leases on older versions have expired.
  std::vector<std::string> silent_;
  /// When every lease on an older version has expired.
  TimePoint leases_end_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_IN_FORCE_STATUS_H_
