#include "citronlane/routing/budget.h"

#include <algorithm>

namespace citronlane {

Budget::Budget(double ratio, double burst)
    : ratio_(ratio), burst_(burst), available_(burst) {}

void Budget::Earn() {
  available_ = std::min(burst_, available_ + ratio_);
}

bool Budget::TrySpend() {
  if (available_ < 1.0) {
    return false;
  }
  available_ -= 1.0;
  return true;
}

}  // namespace citronlane
