#ifndef CITRONLANE_CONTROL_ORIGIN_FEED_H_
#define CITRONLANE_CONTROL_ORIGIN_FEED_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/net/origin_codec.h"
#include "citronlane/routing/stream_origins.h"
#include "citronlane/routing/version_history.h"

namespace citronlane {

class EventLog;
struct BackendServer;

namespace wire::fleet {
class Frame;
class StreamOriginAnswer;
class StreamOriginAsk;
class StreamOrigins;
class VersionsSeen;
}  // namespace wire::fleet

/// A control VM's part in continuing streams at the software version that began
/// them: remembers what gateways report, collects it for the other control VMs,
/// and answers gateways. Kept in memory only: a loss of all gateways and all
/// control VMs at once forgets the streams. Makes no calls; time is passed in.
/// Not thread safe.
class OriginFeed {
 public:
  /// `log` must outlive the object.
  explicit OriginFeed(EventLog* log);
  OriginFeed(const OriginFeed&) = delete;
  OriginFeed& operator=(const OriginFeed&) = delete;

  /// Takes a gateway's report or another control VM's copy of some. What was
  /// not known yet and is no copy is collected for TakeCopies().
  void Take(const wire::fleet::StreamOrigins& origins, TimePoint now);
  /// Returns the frames for the other control VMs with what was collected since
  /// the last call; empty when there is nothing.
  std::vector<wire::fleet::Frame> TakeCopies(TimePoint now);
  /// Takes the list of all servers, which this VM read at `now` as the leader.
  /// No gateway can have used any server by `unused_until`, if that is known.
  /// The next TakeCopies() tells the other control VMs which versions lists
  /// have shown.
  void SetServers(absl::Span<const BackendServer> servers,
                  const std::optional<TimePoint>& unused_until,
                  TimePoint now);
  /// Takes the versions that the leader's lists have shown.
  void Take(const wire::fleet::VersionsSeen& versions, TimePoint now);

  /// Fills the answer to a gateway. `leads` says whether this VM is the leader,
  /// whose answer is final.
  void AnswerTo(const wire::fleet::StreamOriginAsk& ask,
                bool leads,
                TimePoint now,
                wire::fleet::StreamOriginAnswer* answer);

  /// Number of streams remembered.
  size_t size() const { return streams_.size(); }

 private:
  void LogForgotten();

  EventLog* const log_;
  StreamOrigins streams_;
  VersionHistory versions_;
  /// A list was read that the other control VMs have not been told of.
  bool has_new_list_ = false;
  StreamGroups copies_;
  uint64_t logged_forgotten_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_ORIGIN_FEED_H_
