#include "citronlane/routing/deadline_split.h"

#include <algorithm>

namespace citronlane {
namespace {

/// A share is at least this multiple of the learned time, so that a call of
/// ordinary slowness is not retried.
constexpr int kMinShareMultiple = 3;

}  // namespace

StageTime SplitDeadline(Duration remaining,
                        absl::Span<const Duration> learned) {
  remaining = std::max(Duration::zero(), remaining);
  Duration total{};
  for (const Duration time : learned) {
    if (time <= Duration::zero()) {
      return {remaining, remaining};
    }
    total += time;
  }
  if (learned.empty()) {
    return {remaining, remaining};
  }
  const Duration own = learned.front();
  const double part =
      static_cast<double>(own.count()) / static_cast<double>(total.count());
  const Duration even(static_cast<Duration::rep>(
      part * static_cast<double>(remaining.count())));
  // When even the learned times do not fit, all stages are cut in proportion.
  const Duration limit = std::max(even, remaining - (total - own));
  const Duration share =
      std::min(limit, std::max(even, own * kMinShareMultiple));
  return {share, limit};
}

}  // namespace citronlane
