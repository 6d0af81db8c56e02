#include "citronlane/admission/detail/retry_after.h"

#include <algorithm>
#include <utility>

namespace citronlane {
namespace {

constexpr Duration kHalfLife = std::chrono::seconds(5);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

}  // namespace

RetryAfter::RetryAfter(RandomHook random)
    : random_(std::move(random)), admitted_(kHalfLife), refused_(kHalfLife) {}

Duration RetryAfter::OnRefuse(TimePoint now, Duration change) {
  refused_.Add(now, 1);
  const Duration base = std::clamp(change, kMinRetryAfter, kMaxRetryAfter);
  const double refusal_ratio =
      refused_.At(now) / std::max(1.0, admitted_.At(now));
  const double spread = static_cast<double>(base.count()) * (1 + refusal_ratio);
  const auto bound = static_cast<uint64_t>(
      std::min(spread, static_cast<double>(kMaxRetryAfter.count())));
  return base + Duration(static_cast<Duration::rep>(random_(bound)));
}

}  // namespace citronlane
