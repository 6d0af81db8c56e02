#ifndef CITRONLANE_ROUTING_ONLY_VERSION_H_
#define CITRONLANE_ROUTING_ONLY_VERSION_H_

#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// The only software version of a service that the server lists read by another
/// process have shown lately.
struct OnlyVersion {
  std::string version_;
  /// For how long it has been the only one.
  Duration for_{};
  /// No server of another version can ever have been used.
  bool is_ever_ = false;
  /// Age of the process's last list.
  Duration list_age_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_ONLY_VERSION_H_
