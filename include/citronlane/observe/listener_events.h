#ifndef CITRONLANE_OBSERVE_LISTENER_EVENTS_H_
#define CITRONLANE_OBSERVE_LISTENER_EVENTS_H_

#include <string>
#include <string_view>

#include "citronlane/base/time.h"

namespace citronlane {

class EventLog;
class Metrics;

/// Counts and logs connections that lose their places at the listeners of one
/// process. Not thread safe, as its log.
class ListenerEvents {
 public:
  /// `part` is the component of the log lines. `log` and `metrics` must outlive
  /// the object.
  ListenerEvents(std::string part, EventLog* log, Metrics* metrics);

  /// See HttpListenerHooks::place_lost_.
  void OnPlaceLost(std::string_view listener,
                   std::string_view phase,
                   Duration stall) const;
  /// See FrameListener::Hooks::full_.
  void OnPeersFull(bool closed_silent) const;

 private:
  const std::string part_;
  EventLog* const log_;
  Metrics* const metrics_;
};

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_LISTENER_EVENTS_H_
