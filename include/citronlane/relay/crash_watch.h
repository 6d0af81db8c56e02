#ifndef CITRONLANE_RELAY_CRASH_WATCH_H_
#define CITRONLANE_RELAY_CRASH_WATCH_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/crash_ledger.h"
#include "citronlane/routing/suspect_request.h"

namespace citronlane {

class EventLog;

namespace wire::fleet {
class CrashReports;
class SuspectRequests;
}  // namespace wire::fleet

/// A gateway's part in finding requests that crash backend servers: it reports
/// crashes and survivals to the leader among the control VMs, which decides for
/// the fleet, and knows which contents and prompt segments are blocked. While
/// no leader is connected, it also decides by what it has seen itself. Used on
/// the event loop's thread.
class CrashWatch {
 public:
  struct Hooks {
    /// Sends a report to the leader; dropped when there is none.
    std::function<void(const wire::fleet::CrashReports& reports)> send_;
    /// Whether the leader is connected.
    std::function<bool()> has_leader_;
    /// Calls `done` later, once, with whether the server at `address` refuses
    /// connections.
    std::function<void(const std::string& address,
                       std::function<void(bool is_refused)> done)>
        probe_;
    std::function<TimePoint()> now_;
    /// Names this gateway in reports.
    std::string gateway_;
  };
  /// A server that still runs a request this long after its first event is not
  /// crashed by the start of it.
  static constexpr Duration kSurvivalTime = std::chrono::seconds(1);
  /// As above for a segment, which crashes servers when they begin to reply.
  static constexpr Duration kSegmentSurvivalTime =
      std::chrono::milliseconds(100);

  /// Computes the fingerprint of a request; it is costly for large bodies.
  using FingerprintHook = std::function<const RequestFingerprint&()>;

  /// `log` must outlive the object.
  CrashWatch(EventLog* log, Hooks hooks);
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  /// What a suspension of a content means for a request with it.
  enum class Pass {
    /// It may be sent.
    kFree,
    /// It may be sent, as the trial that decides on the others.
    kTrial,
    /// Another one is or will be the trial.
    kWait,
  };

  /// Whether the request, with a body of `body_bytes`, is blocked.
  bool IsBlocked(uint64_t body_bytes, const FingerprintHook& fingerprint) const;
  /// Whether the request may be sent while its content is suspended. With
  /// `is_call` it is about to be sent, which uses up a trial.
  Pass PassOf(uint64_t body_bytes,
              const FingerprintHook& fingerprint,
              bool is_call);
  /// The trial that PassOf() has used up was not sent after all.
  void ReturnTrial(const RequestFingerprint& request);
  /// The blocked one of the segments of a request; empty if none is. With
  /// `is_call` the request is about to be sent, which uses up the trial that
  /// the leader allows after a block.
  std::string BlockedSegment(absl::Span<const std::string> segments,
                             bool is_call);
  /// The connection to a server broke while it may have been running the
  /// request. Finds out whether the server has ended.
  void OnBroken(const std::string& server,
                const std::string& address,
                const RequestFingerprint& request);
  /// A server sent the complete reply to the request.
  void OnSurvived(uint64_t body_bytes, const FingerprintHook& fingerprint);
  /// A server has begun to reply to a request with the segments, and runs on.
  void OnSegmentsSurvived(absl::Span<const std::string> segments);

  /// Takes the leader's list of suspect requests.
  void Take(const wire::fleet::SuspectRequests& suspects);
  /// Call when a leader is found: sends it all that this gateway knows.
  void ReportAll();

  /// Names this gateway in reports.
  const std::string& gateway() const { return hooks_.gateway_; }
  /// Number of blocked requests known.
  size_t CountBlocked() const;

 private:
  /// A probe of a server that may have ended, and what it was running.
  struct Probe {
    TimePoint since_;
    std::vector<RequestFingerprint> running_;
  };

  struct UsedTrial {
    TimePoint at_;
    uint64_t trial_ = 0;
  };

  const SuspectRequest* FindListed(uint64_t body_bytes,
                                   const FingerprintHook& fingerprint) const;
  const SuspectRequest* FindListed(const RequestFeature& feature) const;
  bool IsSegmentBlocked(const std::string& segment, bool is_call);
  /// Whether this gateway may send a request with the listed feature, which
  /// needs a trial. With `is_call` it is sent.
  bool TakeTrial(const SuspectRequest& listed, bool is_call);
  /// As PassOf(), by what this gateway has seen itself.
  Pass OwnPassOf(const RequestFeature& feature, bool is_call);
  /// Asks the leader for a trial, not too often.
  void AskForTrial(const RequestFeature& feature);
  void ReportSurvival(const RequestFeature& feature);
  void OnProbed(const std::string& server, bool is_refused);
  void Report(const ServerCrash& crash);
  void ForgetEndedTrials();
  void RememberEnded(const std::string& server, TimePoint at);

  EventLog* const log_;
  const Hooks hooks_;
  /// The leader's list.
  std::vector<SuspectRequest> listed_;
  /// What this gateway has seen itself.
  CrashLedger own_;
  /// By the server probed.
  std::map<std::string, Probe> probes_;
  /// When the servers that ended last did so.
  std::deque<std::pair<std::string, TimePoint>> ended_;
  /// The last trial of each feature that this gateway has used up.
  std::map<RequestFeature, UsedTrial> tried_;
  TimePoint last_trial_question_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_CRASH_WATCH_H_
