#ifndef CITRONLANE_ROUTING_SUSPECT_REQUEST_H_
#define CITRONLANE_ROUTING_SUSPECT_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/serving/request_feature.h"

namespace citronlane {

/// Requests with a common feature under which backend servers ended.
struct SuspectRequest {
  RequestFeature feature_;
  /// Consecutive crashes of servers that were running such a request.
  uint32_t crashes_ = 0;
  /// When the last of them ended.
  TimePoint last_crash_;
  /// Until then no server may get one; in the past when any may.
  TimePoint blocked_until_;
  /// The servers that ended, for the log; empty on gateways.
  std::vector<std::string> servers_;
  /// After the block only one such request may run, as a trial, until a server
  /// has survived one.
  bool needs_trial_ = false;
  /// The gateway that may send it; empty if none has asked to.
  std::string trial_gateway_;
  /// Rises with each trial.
  uint64_t trial_ = 0;

  bool IsBlocked(TimePoint now) const { return now < blocked_until_; }
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_SUSPECT_REQUEST_H_
