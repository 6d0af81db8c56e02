#ifndef CITRONLANE_CONTROL_SUSPECT_FEED_H_
#define CITRONLANE_CONTROL_SUSPECT_FEED_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/routing/crash_ledger.h"
#include "citronlane/routing/suspect_request.h"

namespace citronlane {

class EventLog;

namespace wire::fleet {
class CrashReports;
class WatchUpdate;
}  // namespace wire::fleet

/// Control's part in finding requests that crash backend servers: merges what
/// gateways report and lists the suspect requests for them. Makes no calls;
/// time is passed in. Not thread safe.
class SuspectFeed {
 public:
  /// `log` must outlive the object.
  explicit SuspectFeed(EventLog* log);

  /// Takes a gateway's reports. Returns whether requests are blocked, unblocked
  /// or allowed as a trial by them, of which all gateways should be told at
  /// once.
  bool Take(const wire::fleet::CrashReports& reports, TimePoint now);
  /// Lifts all blocks; crashes so far no longer count.
  void Clear(TimePoint now);
  /// Call when this VM becomes the leader: forgets everything, since gateways
  /// report what they know to a new leader.
  void StartLeading();

  /// Adds the list to an update if it differs from the one numbered `sent`.
  /// Returns the number of the list that the gateway has after the update; 0
  /// is a gateway that has none.
  uint64_t AddTo(uint64_t sent,
                 TimePoint now,
                 wire::fleet::WatchUpdate* update) const;

  /// Requests that are blocked, or that one more crash may block.
  /// Valid until the next report.
  const std::vector<SuspectRequest>& Listed() const;
  /// Number of blocked requests.
  size_t CountBlocked(TimePoint now) const {
    return crashes_.CountBlocked(now);
  }

 private:
  void LogBlocked(const SuspectRequest& request, TimePoint now);

  EventLog* const log_;
  CrashLedger crashes_;
  /// The list of the ledger with the number below, which all gateways get.
  mutable std::vector<SuspectRequest> listed_;
  mutable uint64_t listed_number_ = 0;
  /// Number of the list after an operator last cleared it.
  uint64_t cleared_number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_SUSPECT_FEED_H_
