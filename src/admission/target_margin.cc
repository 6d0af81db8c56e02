#include "citronlane/admission/detail/target_margin.h"

#include <algorithm>

namespace citronlane {
namespace {

constexpr double kFirst = 0.85;
constexpr double kLowest = 0.2;
constexpr double kHighest = 1.05;
constexpr double kStepDown = 0.02;
/// An end says nothing of the margin when the estimate was below this part of
/// it: a miss then had another cause, such as a straggler.
constexpr double kUsedEnough = 0.5;
constexpr double kHighestAttainment = 0.999;

}  // namespace

TargetMargin::TargetMargin(double attainment)
    : attainment_(attainment), value_(kFirst) {}

void TargetMargin::OnFinish(double used, bool met) {
  if (used < kUsedEnough * value_) {
    return;
  }
  const double wanted = std::min(attainment_, kHighestAttainment);
  // At rest when misses are as frequent as the class allows.
  const double step = met ? kStepDown * (1 - wanted) / wanted : -kStepDown;
  value_ = std::clamp(value_ + step, kLowest, kHighest);
}

}  // namespace citronlane
