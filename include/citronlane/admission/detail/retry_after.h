#ifndef CITRONLANE_ADMISSION_DETAIL_RETRY_AFTER_H_
#define CITRONLANE_ADMISSION_DETAIL_RETRY_AFTER_H_

#include <cstdint>
#include <functional>

#include "citronlane/admission/detail/decayed_sum.h"
#include "citronlane/base/time.h"

namespace citronlane {

/// When a refused caller should come back: after the state has had time to
/// change, spread at random over a time that grows with the number refused, so
/// that callers do not return together. Not thread safe.
class RetryAfter {
 public:
  using RandomHook = std::function<uint64_t(uint64_t)>;

  explicit RetryAfter(RandomHook random);

  void OnAdmit(TimePoint now) { admitted_.Add(now, 1); }
  /// Counts a refusal and returns the time to wait; `change` is when the state
  /// that refused may have changed.
  Duration OnRefuse(TimePoint now, Duration change);

 private:
  const RandomHook random_;
  DecayedSum admitted_;
  DecayedSum refused_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_RETRY_AFTER_H_
