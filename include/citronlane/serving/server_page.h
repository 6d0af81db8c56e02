#ifndef CITRONLANE_SERVING_SERVER_PAGE_H_
#define CITRONLANE_SERVING_SERVER_PAGE_H_

#include <string>
#include <vector>

#include "citronlane/serving/backend_server.h"

namespace citronlane {

/// One page of the platform's list of backend servers.
struct ServerPage {
  std::vector<BackendServer> servers_;
  /// Entries that name no server to use: they could not be read, or say what
  /// the platform doesn't.
  size_t unusable_ = 0;
  /// Names the next page; empty on the last one.
  std::string next_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_SERVER_PAGE_H_
