#ifndef CITRONLANE_FLEET_IN_FORCE_STATUS_H_
#define CITRONLANE_FLEET_IN_FORCE_STATUS_H_

#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// Whether a version is in force everywhere, and what it still waits for.
struct InForceStatus {
  bool in_force_ = false;
  /// Gateways that have not reported the version. When it is in force, their
  /// leases on an older one have run out.
  std::vector<std::string> silent_;
  /// When every lease on an older version has run out.
  TimePoint leases_end_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_IN_FORCE_STATUS_H_
