#ifndef CITRONLANE_ADMISSION_DETAIL_RETRY_AFTER_H_
#define CITRONLANE_ADMISSION_DETAIL_RETRY_AFTER_H_

#include <cstdint>
#include <functional>

#include "citronlane/admission/detail/decayed_sum.h"
#include "citronlane/base/time.h"

namespace citronlane {

/// Computes when a refused caller should retry: after the state has had time to
/// change, plus a random time whose range grows with the number of refusals, so
/// that callers do not retry at the same time. Not thread safe.
class RetryAfter {
 public:
  /// Returns a number below its argument, which is at least 1.
  using RandomHook = std::function<uint64_t(uint64_t)>;

  explicit RetryAfter(RandomHook random);

  void OnAdmit(TimePoint now) { admitted_.Add(now, 1); }
  /// Counts a refusal and returns the time to wait. `change` is the time after
  /// which the reason of the refusal may be gone.
  Duration OnRefuse(TimePoint now, Duration change);

 private:
  const RandomHook random_;
  DecayedSum admitted_;
  DecayedSum refused_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_RETRY_AFTER_H_
