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
/// expects the finish of the next one. A streamed call takes the time to its
/// first byte and then one interval for each token; another call has one time.
/// Times are in microseconds. Not thread safe.
class FinishEstimator {
 public:
  FinishEstimator();

  /// Usual time of the call in the pool at `load`.
  double Usual(double load, const CallShape& call) const;
  /// Time of the call at the server if it started now. `planned` calls are on
  /// their way there before it.
  double Expected(const ServerState& server,
                  TimePoint now,
                  const CallShape& call,
                  bool prefix_hit,
                  double planned) const;
  /// The same for the first byte of a streamed answer.
  double ExpectedFirstByte(const ServerState& server,
                           TimePoint now,
                           const CallShape& call,
                           double planned) const;

  /// A call at the server ended well after `latency`.
  void Learn(ServerState* server,
             TimePoint now,
             const OutstandingCall& started,
             Duration latency,
             uint32_t tokens,
             const CallShape& call);
  /// A call at the server was not done after `latency`: evidence only when it
  /// should have been.
  void LearnUnfinished(ServerState* server,
                       TimePoint now,
                       const OutstandingCall& started,
                       Duration latency);
  void LearnFirstByte(const OutstandingCall& started, Duration latency);

  /// Corrects the usual speed by `factor`, so that servers' factors can stay
  /// around 1.
  void Scale(double factor);

  /// Ends and first bytes learned from.
  size_t samples() const { return samples_; }
  size_t first_byte_samples() const { return first_byte_samples_; }
  /// Usual time between two tokens of a stream; 0 if unknown.
  double TokenInterval() const { return interval_.value(); }

 private:
  using Curves = std::array<LoadCurve, kCallPriorities>;

  /// Curve of the priority, or of another one while it has none.
  static const LoadCurve& CurveOf(const Curves& curves, uint32_t priority);
  double FirstByte(double load, uint32_t priority) const;
  double Streaming(double load, double tokens) const;
  void LearnUsual(const OutstandingCall& started,
                  double latency,
                  uint32_t tokens,
                  double slow);

  /// By priority: an urgent call waits for fewer others.
  Curves whole_;
  Curves first_bytes_;
  LoadCurve intervals_;
  size_t samples_ = 0;
  size_t first_byte_samples_ = 0;
  /// Tokens generated for each expected one, and for a call.
  DecayedMean token_ratio_;
  DecayedMean tokens_;
  DecayedMean interval_;
  /// Times as a multiple of the usual, by whether the prefix was cached.
  DecayedMean hit_;
  DecayedMean miss_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_FINISH_ESTIMATOR_H_
