#ifndef CITRONLANE_ROUTING_DETAIL_SERVER_STATE_H_
#define CITRONLANE_ROUTING_DETAIL_SERVER_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/detail/decayed_mean.h"
#include "citronlane/routing/detail/outstanding_call.h"
#include "citronlane/routing/detail/peer_load.h"

namespace citronlane {

/// What one gateway knows of one backend server. Not thread safe.
class ServerState {
 public:
  ServerState(std::string id, bool near);

  const std::string& id() const { return id_; }
  bool near() const { return near_; }
  void set_near(bool near) { near_ = near; }

  /// `expected` is the pool's usual time for such a call at this load.
  void StartCall(TimePoint now,
                 Duration expected,
                 uint32_t priority,
                 bool prefix_hit);
  /// Removes and returns the call that began `latency` before `now`.
  std::optional<OutstandingCall> EndCall(TimePoint now, Duration latency);
  /// Notes the first byte of that call and returns it, or nothing.
  const OutstandingCall* NoteFirstByte(TimePoint now, Duration latency);
  size_t in_flight() const { return calls_.size(); }
  /// Time the calls in flight have waited, as a multiple of what was expected
  /// of them; 0 without any.
  double Overdue(TimePoint now) const;

  void SetReport(TimePoint now, Duration age, double queued_calls);
  void SetPeerLoad(uint32_t gateway, TimePoint now, double in_flight);
  /// Forgets what peers said too long ago.
  void ExpirePeers(TimePoint now);
  /// Calls at the server: own, and the others' by reports and peers.
  double Load(TimePoint now) const;

  /// Counts the end of a call towards the failure share.
  void CountOutcome(TimePoint now, CallOutcome outcome);
  /// Share of failed calls, 0 to 1; fades while no call is made.
  double FailureShare(TimePoint now) const;
  size_t outcomes() const { return failures_.count(); }
  int consecutive_failures() const { return consecutive_failures_; }

  /// Learned time of the server relative to its pool: 1 is usual, 10 is ten
  /// times as slow. Old evidence fades towards 1; calls overdue count as well.
  double SlowFactor(TimePoint now) const;
  void AddSlowSample(TimePoint now, double factor);
  /// Scales the factor when the pool's usual speed is corrected.
  void ScaleSlow(double factor) { slow_.Scale(factor); }
  size_t slow_samples() const { return slow_.count(); }

  /// Cheap check whether the server may be an outlier at all: it failed lately,
  /// was seen slow, or has calls in flight for long.
  bool MayBeOutlier(TimePoint now) const;

  void Eject(TimePoint until);
  bool IsEjected(TimePoint now) const { return now < ejected_until_; }
  TimePoint ejected_until() const { return ejected_until_; }
  int ejections() const { return ejections_; }
  /// Back from ejection: what was learned is doubtful, a few calls will tell.
  void BeginProbe(TimePoint now);
  bool probing() const { return probing_; }
  /// Forgets everything but the calls in flight: another process answers now,
  /// and is probed first.
  void Reset(TimePoint now);

 private:
  std::vector<OutstandingCall>::iterator Find(TimePoint start);

  std::string id_;
  bool near_;
  std::vector<OutstandingCall> calls_;
  /// Sums over the calls in flight, for Overdue.
  Duration start_sum_{};
  Duration expected_sum_{};
  std::vector<PeerLoad> peers_;
  double peer_sum_ = 0;
  double reported_others_ = 0;
  std::optional<TimePoint> reported_at_;
  DecayedMean failures_;
  TimePoint failure_at_{};
  int consecutive_failures_ = 0;
  DecayedMean slow_;
  TimePoint slow_at_{};
  TimePoint ejected_until_{};
  int ejections_ = 0;
  bool probing_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_SERVER_STATE_H_
