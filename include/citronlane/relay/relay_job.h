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

/// An admitted request: what it asks for and the rules under which it is
/// served. It keeps the configuration with which it began.
struct RelayJob {
  std::shared_ptr<const ServingConfig> config_;
  const Route* route_ = nullptr;
  RequestHead head_;
  /// Empty when the route is public or there are no accounts.
  std::string account_;
  uint32_t priority_ = 0;
  /// Pieces of all its stages.
  uint64_t pieces_ = 0;
  /// When it arrived at the gateway that its caller is connected to.
  TimePoint arrived_;
  /// When its response should begin.
  TimePoint target_;
  /// When the caller gives up unless the response has begun.
  TimePoint begin_deadline_;
  /// When the caller or the route's timeout ends the request.
  TimePoint deadline_;
  /// Another gateway forwarded it: it goes no further.
  bool is_forwarded_ = false;
  /// That gateway counted it for the budgets on repeats, and sent the request
  /// itself, or pieces of its stages, to backend servers.
  bool was_counted_ = false;
  bool was_sent_ = false;
  bool were_stages_sent_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_RELAY_JOB_H_
