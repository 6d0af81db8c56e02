#ifndef CITRONLANE_RELAY_RELAY_JOB_H_
#define CITRONLANE_RELAY_RELAY_JOB_H_

#include <cstdint>
#include <memory>
#include <string>

#include "citronlane/base/time.h"
#include "citronlane/serving/request_head.h"
#include "citronlane/serving/route.h"
#include "citronlane/serving/serving_config.h"

namespace citronlane {

/// A request that may be served: what it asks for and under which rules. It
/// keeps the configuration it began with.
struct RelayJob {
  std::shared_ptr<const ServingConfig> config_;
  const Route* route_ = nullptr;
  RequestHead head_;
  /// Empty when the route is public or there are no accounts.
  std::string account_;
  uint32_t priority_ = 0;
  TimePoint arrived_;
  /// When its answer should begin.
  TimePoint target_;
  /// When its caller gives up unless the answer has begun.
  TimePoint begin_deadline_;
  /// When its caller, or its route, gives up.
  TimePoint deadline_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_RELAY_JOB_H_
