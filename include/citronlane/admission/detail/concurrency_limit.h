#ifndef CITRONLANE_ADMISSION_DETAIL_CONCURRENCY_LIMIT_H_
#define CITRONLANE_ADMISSION_DETAIL_CONCURRENCY_LIMIT_H_

#include <cstddef>

#include "citronlane/base/time.h"

namespace citronlane {

/// Learns how many calls a pool carries before its latency rises: the limit
/// grows by its root while latency is near the lowest seen, and shrinks by
/// their ratio when it is not. Not thread safe.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit();

  /// A call took `latency` with `in_flight` calls beside it.
  void OnCall(TimePoint now, Duration latency, size_t in_flight);

  double limit() const { return limit_; }
  /// Mean latency of recent calls, in microseconds; 0 while unknown.
  double latency_us() const { return latency_; }

 private:
  double limit_;
  double latency_ = 0;
  double base_ = 0;
  size_t samples_ = 0;
  TimePoint next_change_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_CONCURRENCY_LIMIT_H_
