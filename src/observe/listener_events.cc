#include "citronlane/observe/listener_events.h"

#include <utility>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"

namespace citronlane {

ListenerEvents::ListenerEvents(std::string part,
                               EventLog* log,
                               Metrics* metrics)
    : part_(std::move(part)), log_(log), metrics_(metrics) {}

void ListenerEvents::OnPlaceLost(std::string_view listener,
                                 std::string_view phase,
                                 Duration stall) const {
  metrics_->Count(kPlacesLostTotal, {listener, phase});
  log_->Write(part_, "connection closed for another",
              {{"listener", listener}, {"phase", phase}, {"stall_ms", stall}});
}

void ListenerEvents::OnPeersFull(bool closed_silent) const {
  if (closed_silent) {
    metrics_->Count(kPlacesLostTotal, {"fleet", "silent"});
  } else {
    metrics_->Count(kConnectionsClosedTotal,
                    {ToString(RefusalReason::kTooManyConnections)});
  }
  log_->Write(part_, "no place for a process of the fleet",
              {{"closed_silent", closed_silent ? "yes" : "no"}});
}

}  // namespace citronlane
