#ifndef CITRONLANE_ROUTING_ENGINE_SPEED_H_
#define CITRONLANE_ROUTING_ENGINE_SPEED_H_

#include <array>
#include <cstddef>

#include "citronlane/base/time.h"

namespace citronlane {

/// How much longer than its pool's other servers one server takes, lastingly: a
/// slow or fast spell that is short beside the time observed does not show. Not
/// thread safe.
class EngineSpeed {
 public:
  /// Time seen, and expected in the pool, in any unit. Times that are not
  /// finite or not above 0 are ignored. A `now` before the last one counts as
  /// the last one.
  void Add(TimePoint now, double seen, double expected);

  /// Multiple of the pool's time that work takes here: above 1 for a slow
  /// server, exactly 1 for one that is unknown, was long not observed or does
  /// not clearly differ from its pool.
  double TimeFactor(TimePoint now) const { return IsKnown(now) ? factor_ : 1; }
  /// Whether there are enough samples that are not too old.
  bool IsKnown(TimePoint now) const;

 private:
  /// Samples of a short time, which count once, however many they are.
  struct Span {
    double seen_ = 0;
    double expected_ = 0;
  };
  static constexpr size_t kSpans = 16;

  void Conclude();

  std::array<Span, kSpans> spans_;
  /// Spans with samples, at most kSpans; the newest is at `last_`.
  size_t used_ = 0;
  size_t last_ = 0;
  TimePoint last_began_;
  TimePoint last_sample_;
  double factor_ = 1;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_ENGINE_SPEED_H_
