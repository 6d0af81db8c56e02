#ifndef CITRONLANE_RELAY_LIMIT_WATCH_H_
#define CITRONLANE_RELAY_LIMIT_WATCH_H_

#include <functional>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/routing/server_backoffs.h"
#include "citronlane/routing/server_limits.h"

namespace citronlane {

class EventLog;
struct ServerReplyHead;

namespace wire::fleet {
class ServerLimits;
}  // namespace wire::fleet

/// A gateway's part in keeping what backend servers say in their replies of the
/// calls that they take. Limits concern all gateways: it tells them to the
/// leader among the control VMs, which tells the others. A backoff concerns
/// this gateway only. Used on the event loop's thread.
class LimitWatch {
 public:
  struct Hooks {
    /// Sends limits to the leader; dropped when there is none.
    std::function<void(const wire::fleet::ServerLimits& limits)> send_;
    std::function<TimePoint()> now_;
    /// A server says that it leaves. Called for each such reply.
    std::function<void(const std::string& server)> leaving_ =
        [](const std::string&) {};
  };

  /// `limits` and `log` must outlive the object.
  LimitWatch(ServerLimits* limits, EventLog* log, Hooks hooks);
  LimitWatch(const LimitWatch&) = delete;
  LimitWatch& operator=(const LimitWatch&) = delete;

  /// The server replied, and named these limits and Retry-After or none, or
  /// says that it leaves.
  void OnReply(const std::string& server, const ServerReplyHead& reply);
  /// Another gateway has passed on a reply of a server that leaves.
  void OnLeaving(const std::string& server) const { hooks_.leaving_(server); }
  /// Takes limits that another gateway or the leader knows. `source` says which
  /// of them, for the log.
  void Take(const ServerLimit& limit, std::string_view source);
  /// Call when a leader is found: sends it all that this gateway knows.
  void ReportAll();

  ServerLimits* limits() const { return limits_; }
  ServerBackoffs* backoffs() { return &backoffs_; }

 private:
  void Log(const ServerLimit& limit, std::string_view source);

  ServerLimits* const limits_;
  EventLog* const log_;
  const Hooks hooks_;
  ServerBackoffs backoffs_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_LIMIT_WATCH_H_
