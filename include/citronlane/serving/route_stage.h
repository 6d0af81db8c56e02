#ifndef CITRONLANE_SERVING_ROUTE_STAGE_H_
#define CITRONLANE_SERVING_ROUTE_STAGE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace citronlane {

/// A stage that must be done before a route's request itself can run.
struct RouteStage {
  std::string service_;
  /// Indices of earlier stages whose results this one needs.
  std::vector<uint32_t> after_;
  /// Approximate size of one result.
  uint64_t result_bytes_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_ROUTE_STAGE_H_
