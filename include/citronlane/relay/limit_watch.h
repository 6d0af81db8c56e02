#ifndef CITRONLANE_RELAY_LIMIT_WATCH_H_
#define CITRONLANE_RELAY_LIMIT_WATCH_H_

#include <functional>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/routing/server_limits.h"

namespace citronlane {

class EventLog;
struct ServerReplyHead;

namespace wire::fleet {
class ServerLimits;
}  // namespace wire::fleet

/// A gateway's part in keeping the limits that backend servers name: records
/// what replies say, and tells the leader among the control VMs, which tells
/// the other gateways. Used on the event loop's thread.
class LimitWatch {
 public:
  struct Hooks {
    /// Sends limits to the leader; dropped when there is none.
    std::function<void(const wire::fleet::ServerLimits& limits)> send_;
    std::function<TimePoint()> now_;
  };

  /// `limits` and `log` must outlive the object.
  LimitWatch(ServerLimits* limits, EventLog* log, Hooks hooks);
  LimitWatch(const LimitWatch&) = delete;
  LimitWatch& operator=(const LimitWatch&) = delete;

  /// The server replied, and named these limits or none.
  void OnReply(const std::string& server, const ServerReplyHead& reply);
  /// Takes limits that another gateway or the leader knows. `source` says which
  /// of them, for the log.
  void Take(const ServerLimit& limit, std::string_view source);
  /// Call when a leader is found: sends it all that this gateway knows.
  void ReportAll();

  ServerLimits* limits() const { return limits_; }

 private:
  void Log(const ServerLimit& limit, std::string_view source);

  ServerLimits* const limits_;
  EventLog* const log_;
  const Hooks hooks_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_LIMIT_WATCH_H_
