#ifndef CITRONLANE_GATEWAY_CRASH_GUARD_H_
#define CITRONLANE_GATEWAY_CRASH_GUARD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/crash_watch.h"

namespace citronlane {

namespace wire {
class SuspectList;
}  // namespace wire

/// The CrashWatch of a gateway whose requests run on several threads. Servers
/// of the configuration keep their names when they restart; it tells their
/// incarnations apart. Thread safe.
class CrashGuard {
 public:
  using FingerprintHook = CrashWatch::FingerprintHook;

  struct Hooks {
    /// Sends a report to the leader among the control VMs, and returns at once.
    std::function<void(const wire::fleet::CrashReports& reports)> send_;
    /// Calls `done` later, once, from any thread, with whether the server at
    /// `endpoint`, "IP:port", refuses connections.
    std::function<void(const std::string& endpoint,
                       std::function<void(bool is_refused)> done)>
        probe_;
    /// Writes one log line, given without a line end.
    std::function<void(std::string_view line)> log_;
    std::function<TimePoint()> now_;
  };

  /// `gateway` names the gateway in log lines. All hooks must be set. The
  /// object must live until no probe can end any more.
  CrashGuard(std::string gateway, Hooks hooks);
  CrashGuard(const CrashGuard&) = delete;
  CrashGuard& operator=(const CrashGuard&) = delete;

  /// Whether no server may get the request, whose body has `body_bytes`.
  bool IsBlocked(uint64_t body_bytes, const FingerprintHook& fingerprint) const;
  /// The connection to a server broke while it may have been running the
  /// request.
  void OnBroken(const std::string& server,
                const std::string& endpoint,
                const RequestFingerprint& request);
  /// A server has sent a reply, or a part of one.
  void OnAlive(const std::string& endpoint);
  /// All stages of the request are done.
  void OnSurvived(uint64_t body_bytes, const FingerprintHook& fingerprint);
  /// Takes the leader's list.
  void Take(const wire::SuspectList& list);

 private:
  CrashWatch::Hooks WatchHooks();

  const Hooks hooks_;
  mutable std::mutex mutex_;
  EventLog log_;
  CrashWatch watch_;
  /// Endpoints whose server has ended and not replied since.
  std::set<std::string> ended_;
  /// How often the server at an endpoint has restarted after it ended.
  std::map<std::string, uint64_t> restarts_;
  /// Term of the last leader, and until when it counts as connected.
  uint64_t term_ = 0;
  TimePoint leader_until_;
  /// Requests listed last, as text.
  std::string listed_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CRASH_GUARD_H_
