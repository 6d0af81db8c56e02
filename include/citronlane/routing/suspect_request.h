#ifndef CITRONLANE_ROUTING_SUSPECT_REQUEST_H_
#define CITRONLANE_ROUTING_SUSPECT_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/serving/request_fingerprint.h"

namespace citronlane {

/// A request under which several backend servers ended.
struct SuspectRequest {
  RequestFingerprint fingerprint_;
  /// Consecutive crashes of servers that were running it.
  uint32_t crashes_ = 0;
  /// When the last of them ended.
  TimePoint last_crash_;
  /// Until then no server may get it; in the past when any may.
  TimePoint blocked_until_;
  /// The servers that ended, for the log; empty on gateways.
  std::vector<std::string> servers_;

  bool IsBlocked(TimePoint now) const { return now < blocked_until_; }
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_SUSPECT_REQUEST_H_
