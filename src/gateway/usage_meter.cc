#include "citronlane/gateway/usage_meter.h"

namespace citronlane {

UsageMeter::UsageMeter(TimePoint start) : since_(start) {}

void UsageMeter::Add(const std::string& class_name, double cost) {
  const std::lock_guard lock(mutex_);
  Sum& sum = sums_[class_name];
  sum.cost_ += cost;
  sum.requests_ += 1;
}

std::vector<ClassUsage> UsageMeter::Take(TimePoint now) {
  const std::lock_guard lock(mutex_);
  const double seconds = std::chrono::duration<double>(now - since_).count();
  std::vector<ClassUsage> usage;
  for (const auto& [name, sum] : sums_) {
    const double rate = seconds > 0 ? sum.requests_ / seconds : 0;
    usage.push_back(ClassUsage{name, sum.cost_, rate});
  }
  sums_.clear();
  since_ = now;
  return usage;
}

}  // namespace citronlane
