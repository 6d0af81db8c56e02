#ifndef CITRONLANE_ROUTING_VERSION_SIGHTINGS_H_
#define CITRONLANE_ROUTING_VERSION_SIGHTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// What a VersionHistory remembers, to be passed on to another process.
struct VersionSightings {
  /// A software version of a service.
  struct Version {
    std::string service_;
    std::string version_;
    /// When the first list without it was read; nothing while it is listed.
    std::optional<TimePoint> gone_;
  };

  std::vector<Version> versions_;
  /// When the first and the last list of the covered time were read.
  TimePoint first_read_;
  TimePoint last_read_;
  /// No server had been used by then; nothing if that is not known.
  std::optional<TimePoint> unused_until_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_VERSION_SIGHTINGS_H_
