#ifndef CITRONLANE_RELAY_REACH_WATCH_H_
#define CITRONLANE_RELAY_REACH_WATCH_H_

#include <functional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/server_reach.h"

namespace citronlane {

class EventLog;

/// Probes backend servers after failed calls, and knows whether this gateway is
/// cut off from all of them. Used on the event loop's thread.
class ReachWatch {
 public:
  struct Hooks {
    /// Addresses "IP:port" of all listed servers.
    std::function<std::vector<std::string>()> addresses_;
    /// Sends the server at the address a request that runs nothing. Calls
    /// `done` once, possibly before it returns.
    std::function<void(const std::string& address,
                       std::function<void(ServerReach::ProbeResult)> done)>
        probe_;
    /// is_cut_off() has changed.
    std::function<void()> changed_;
    std::function<TimePoint()> now_;
  };

  /// `log` must outlive the object. All hooks must be set.
  ReachWatch(ServerReach::RandomHook random, EventLog* log, Hooks hooks);
  ReachWatch(const ReachWatch&) = delete;
  ReachWatch& operator=(const ReachWatch&) = delete;

  /// A call to a server has ended.
  void OnCallEnd(CallOutcome outcome);
  /// A call is being sent to a server.
  void OnCall() { reach_.OnCall(hooks_.now_()); }
  /// A reply, or a part of one, has arrived from the server at "IP:port".
  void OnReply(const std::string& address) { reach_.OnReply(address); }
  /// Starts the probes that are due. Call every 50 ms.
  void Tick();

  bool is_cut_off() const { return reach_.is_cut_off(); }

 private:
  void OnProbed(const std::string& address, ServerReach::ProbeResult result);

  EventLog* const log_;
  const Hooks hooks_;
  ServerReach reach_;
  TimePoint changed_at_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_REACH_WATCH_H_
