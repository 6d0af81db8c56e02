#ifndef CITRONLANE_ROUTING_DETAIL_FINISH_ESTIMATOR_H_
#define CITRONLANE_ROUTING_DETAIL_FINISH_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "citronlane/base/time.h"
#include "citronlane/routing/call_priority.h"
#include "citronlane/routing/call_shape.h"
#include "citronlane/routing/detail/decayed_mean.h"
#include "citronlane/routing/detail/load_curve.h"
#include "citronlane/routing/detail/outstanding_call.h"
#include "citronlane/routing/detail/server_state.h"

namespace citronlane {

/// Learns how long a pool's calls take by load, priority and server, and
/// estimates the time of the next one. A streamed call takes the time to its
/// first byte and then one interval for each token; another call has one time.
/// Times are in microseconds. Not thread safe.
class FinishEstimator {
 public:
  FinishEstimator();

  /// Typical time of the call in the pool at `load`; an assumed value while no
  /// call was observed.
  double TypicalTime(double load, const CallShape& call) const;
  /// Time of the call at the server if it started now, after `planned` calls
  /// that will start there before it.
  double ExpectedTime(const ServerState& server,
                      TimePoint now,
                      const CallShape& call,
                      bool prefix_hit,
                      double planned) const;
  /// The same for the first byte of a streamed reply.
  double ExpectedFirstByte(const ServerState& server,
                           TimePoint now,
                           const CallShape& call,
                           double planned) const;

  /// A call at the server succeeded after `latency`. `tokens` is 0 for a call
  /// that did not stream. `server` must not be null, here and below.
  void Learn(ServerState* server,
             TimePoint now,
             const OutstandingCall& started,
             Duration latency,
             uint32_t tokens,
             const CallShape& call);
  /// A call at the server was not done after `latency`, which counts against
  /// the server only when it makes it slower than assumed.
  void LearnUnfinished(ServerState* server,
                       TimePoint now,
                       const OutstandingCall& started,
                       Duration latency);
  void LearnFirstByte(const OutstandingCall& started, Duration latency);

  /// Multiplies the typical times by `factor`. The caller divides the servers'
  /// slow factors by it, so that they stay around 1.
  void Scale(double factor);

  /// Number of observed successful calls.
  size_t samples() const { return samples_; }
  /// Number of observed first bytes.
  size_t first_byte_samples() const { return first_byte_samples_; }
  /// Typical time between two tokens of a stream; 0 if unknown.
  double TokenInterval() const { return interval_.value(); }

 private:
  using Curves = std::array<LoadCurve, kCallPriorities>;

  /// Curve of the priority, or the first one with samples while it has none.
  static const LoadCurve& CurveOf(const Curves& curves, uint32_t priority);
  double FirstByte(double load, uint32_t priority) const;
  double Streaming(double load, double tokens) const;
  void LearnTypicalTime(const OutstandingCall& started,
                        double latency,
                        uint32_t tokens,
                        double slow);

  /// Times of calls that do not stream, and to the first byte of those that do,
  /// by priority: an urgent call waits for fewer others.
  Curves call_times_;
  Curves first_bytes_;
  LoadCurve intervals_;
  size_t samples_ = 0;
  size_t first_byte_samples_ = 0;
  /// Generated tokens for each expected token, and for each call.
  DecayedMean token_ratio_;
  DecayedMean tokens_;
  DecayedMean interval_;
  /// Times as a multiple of the typical time, by whether the prefix was cached.
  DecayedMean hit_;
  DecayedMean miss_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_FINISH_ESTIMATOR_H_
