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

/// Load, failures and speed of one backend server as one gateway knows them.
/// Not thread safe.
class ServerState {
 public:
  ServerState(std::string id, bool near);

  const std::string& id() const { return id_; }
  /// Whether the server is in this gateway's failure domain.
  bool near() const { return near_; }
  void set_near(bool near) { near_ = near; }

  /// `expected` is the pool's typical time of such a call at the
  /// server's present load.
  void StartCall(TimePoint now,
                 Duration expected,
                 uint32_t priority,
                 bool prefix_hit);
  /// Removes and returns the call that started closest to `latency` before
  /// `now`; nullopt when none is in flight.
  std::optional<OutstandingCall> EndCall(TimePoint now, Duration latency);
  /// Records the first byte of that call and returns it, or null. The pointer
  /// is valid until the next StartCall or EndCall.
  const OutstandingCall* RecordFirstByte(TimePoint now, Duration latency);
  size_t in_flight() const { return calls_.size(); }
  /// Total time that the calls in flight have waited, as a multiple of their
  /// expected times; 0 without any.
  double OverdueRatio(TimePoint now) const;

  /// The server's report of its queued calls, made `age` before `now`. Ignored
  /// when older than the last one.
  void SetReport(TimePoint now, Duration age, double queued_calls);
  void SetPeerLoad(uint32_t gateway, TimePoint now, double in_flight);
  /// Removes the loads of gateways that have not reported for a while.
  void ExpirePeers(TimePoint now);
  /// Calls at the server: this gateway's, plus those of other gateways, which
  /// are estimated as the larger of the sum over peers and of the server's
  /// report as it decays.
  double Load(TimePoint now) const;

  /// Counts the end of a call towards the failure ratio, unless it was
  /// cancelled. A success ends a probe.
  void RecordOutcome(TimePoint now, CallOutcome outcome);
  /// Failed calls of all calls, 0 to 1, weighted to recent ones; decays while
  /// no call ends.
  double FailureRatio(TimePoint now) const;
  /// Outcomes that FailureRatio was computed from.
  size_t outcomes() const { return failures_.count(); }
  int consecutive_failures() const { return consecutive_failures_; }

  /// Learned time of the server's calls relative to the pool's typical time: 10
  /// is ten times as slow. Decays towards 1 without new samples; overdue calls
  /// in flight raise it immediately.
  double SlowFactor(TimePoint now) const;
  void AddSlowSample(TimePoint now, double factor);
  /// Scales the factor when the pool's typical times are corrected.
  void ScaleSlow(double factor) { slow_.Scale(factor); }
  size_t slow_samples() const { return slow_.count(); }

  /// Cheap check whether the server may be an outlier at all: it failed lately,
  /// was slow, or has overdue calls.
  bool MayBeOutlier(TimePoint now) const;

  void Eject(TimePoint until);
  bool IsEjected(TimePoint now) const { return now < ejected_until_; }
  /// End of the last ejection; the epoch when there was none since Reset.
  TimePoint ejected_until() const { return ejected_until_; }
  /// Ejections since the server was last healthy.
  int ejections() const { return ejections_; }
  /// The server returns after an ejection: clears its failures and slow factor.
  /// It takes one call at a time until one succeeds.
  void BeginProbe(TimePoint now);
  /// Whether no call has succeeded since BeginProbe.
  bool probing() const { return probing_; }
  /// A new incarnation of the server runs: clears what was learned of the
  /// previous one and begins a probe. Calls in flight and peers' loads stay.
  void Reset(TimePoint now);

 private:
  /// The call whose start is closest; calls_.end() when there is none.
  std::vector<OutstandingCall>::iterator Find(TimePoint start);

  std::string id_;
  bool near_;
  std::vector<OutstandingCall> calls_;
  /// Sums over the calls in flight, for OverdueRatio.
  Duration start_sum_{};
  Duration expected_sum_{};
  std::vector<PeerLoad> peers_;
  double peer_sum_ = 0;
  /// Calls of other gateways by the server's last report.
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
