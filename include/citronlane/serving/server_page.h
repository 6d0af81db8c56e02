#ifndef CITRONLANE_SERVING_SERVER_PAGE_H_
#define CITRONLANE_SERVING_SERVER_PAGE_H_

#include <string>
#include <vector>

#include "citronlane/serving/backend_server.h"

namespace citronlane {

/// One page of the platform's list of backend servers.
struct ServerPage {
  std::vector<BackendServer> servers_;
  /// Number of entries that name no usable server: they are malformed, or
  /// contradict the platform.
  size_t unusable_ = 0;
  /// Number of usable servers whose cold time can't be read; they count as
  /// warm.
  size_t invalid_cold_times_ = 0;
  /// Identifies the next page; empty on the last one.
  std::string next_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_SERVER_PAGE_H_
