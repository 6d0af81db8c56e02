#ifndef CITRONLANE_RELAY_ORIGIN_WATCH_H_
#define CITRONLANE_RELAY_ORIGIN_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/net/origin_codec.h"
#include "citronlane/routing/only_version.h"
#include "citronlane/routing/stream_origins.h"
#include "citronlane/serving/stream_origin.h"

namespace citronlane {

class EventLog;

namespace wire::fleet {
class Frame;
class StreamOriginAnswer;
}  // namespace wire::fleet

/// A gateway's part in continuing streams at the software version that began
/// them: remembers what began the streams of its callers, reports that to the
/// control VMs, and asks them about streams that began at other gateways. Used
/// on the event loop's thread.
class OriginWatch {
 public:
  struct Hooks {
    /// Sends a frame to the leader or, while none is known, to every connected
    /// control VM.
    std::function<void(const wire::fleet::Frame& frame)> send_;
    std::function<TimePoint()> now_;
  };

  /// What control knows of a stream.
  struct Answer {
    /// Nothing when the leader doesn't know the stream.
    std::optional<StreamOrigin> origin_;
    /// Without an origin: the only version of the service that control's server
    /// lists have shown lately. Nothing when the last list showed several or
    /// control has no current list.
    std::optional<OnlyVersion> only_version_;
  };

  /// `log` must outlive the object.
  OriginWatch(EventLog* log, Hooks hooks);
  OriginWatch(const OriginWatch&) = delete;
  OriginWatch& operator=(const OriginWatch&) = delete;

  /// The caller's attempt with this id got the first event of its stream from a
  /// server of `origin`. Reported by the next Tick().
  void OnBegun(std::string_view request_id, const StreamOrigin& origin);
  /// What began the stream of the attempt with this id, as far as this gateway
  /// remembers.
  std::optional<StreamOrigin> Find(std::string_view request_id);

  /// Asks control what began the stream. `service` is the one that would
  /// continue it. `done` is called at most once: when a control VM knows the
  /// stream, or when the leader doesn't. It may call this object. There is no
  /// timeout. Returns the number of the question.
  uint64_t Ask(std::string_view request_id,
               const std::string& service,
               std::function<void(const Answer&)> done);
  /// Drops the question: `done` is not called any more. Does nothing when it is
  /// answered.
  void Cancel(uint64_t question);
  /// Takes an answer of a control VM.
  void Take(const wire::fleet::StreamOriginAnswer& answer);

  /// Reports the streams that have begun since. Call every 50 ms.
  void Tick();
  /// Call when a leader is found: reports all that is remembered, and asks open
  /// questions again.
  void ReportAll();

 private:
  struct Question {
    uint64_t stream_ = 0;
    std::string service_;
    std::function<void(const Answer&)> done_;
  };

  void Send(const StreamGroups& streams);
  void Send(uint64_t number, const Question& question);
  void LogForgotten();

  EventLog* const log_;
  const Hooks hooks_;
  StreamOrigins streams_;
  /// To be reported by the next Tick().
  StreamGroups unreported_;
  std::map<uint64_t, Question> questions_;
  uint64_t last_question_ = 0;
  uint64_t logged_forgotten_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_ORIGIN_WATCH_H_
