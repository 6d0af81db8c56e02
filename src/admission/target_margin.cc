#include "citronlane/admission/detail/target_margin.h"

#include <algorithm>

namespace citronlane {
namespace {

/// Margins are fractions of the target.
constexpr double kInitialMargin = 0.85;
constexpr double kMinMargin = 0.2;
constexpr double kMaxMargin = 1.05;
constexpr double kMarginStepDown = 0.02;
/// Requests whose estimate was below this fraction of the margin are ignored: a
/// miss then had another cause, such as a straggler.
constexpr double kMinUsedFraction = 0.5;
constexpr double kMaxAttainment = 0.999;

}  // namespace

TargetMargin::TargetMargin(double attainment)
    : attainment_(attainment), value_(kInitialMargin) {}

void TargetMargin::OnFinish(double used, bool met) {
  if (used < kMinUsedFraction * value_) {
    return;
  }
  const double wanted = std::min(attainment_, kMaxAttainment);
  // The steps up and down cancel out when misses are as frequent as the class
  // allows.
  const double step =
      met ? kMarginStepDown * (1 - wanted) / wanted : -kMarginStepDown;
  value_ = std::clamp(value_ + step, kMinMargin, kMaxMargin);
}

}  // namespace citronlane
