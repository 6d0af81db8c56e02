#ifndef CITRONLANE_RELAY_SILENT_ATTEMPT_H_
#define CITRONLANE_RELAY_SILENT_ATTEMPT_H_

#include <memory>
#include <string>

#include "citronlane/relay/called_server.h"
#include "citronlane/serving/event_splitter.h"

namespace citronlane {

class ServerAttempt;

/// A call whose server fell silent after it got the request. It is kept open
/// while other servers are tried, since the server may go on. Used by the
/// request's handler.
class SilentAttempt {
 public:
  /// `attempt` must not be null. `events` is the state of the stream after what
  /// the server has sent.
  SilentAttempt(std::unique_ptr<ServerAttempt> attempt,
                CalledServer called,
                EventSplitter events);
  /// Ends the call.
  ~SilentAttempt();
  SilentAttempt(SilentAttempt&& other) noexcept;
  SilentAttempt& operator=(SilentAttempt&& other) noexcept;

  /// Whether the server has sent more of a good reply, or completed it, since
  /// then. A head alone is no sign that the rest follows.
  bool HasGoneOn() const;
  /// Whether no good reply can follow: the call failed, or the server refused
  /// it or replied with a failure.
  bool IsLost() const;

  /// The call, for going on with it; the object must not be used afterwards.
  std::unique_ptr<ServerAttempt> TakeAttempt();

  const std::string& server() const { return called_.server_.id_; }
  const CalledServer& called() const { return called_; }
  const ServerAttempt& attempt() const { return *attempt_; }
  const EventSplitter& events() const { return events_; }

 private:
  bool HasGoodHead() const;

  std::unique_ptr<ServerAttempt> attempt_;
  CalledServer called_;
  EventSplitter events_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_SILENT_ATTEMPT_H_
