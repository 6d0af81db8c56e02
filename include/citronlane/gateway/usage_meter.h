#ifndef CITRONLANE_GATEWAY_USAGE_METER_H_
#define CITRONLANE_GATEWAY_USAGE_METER_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/transport/class_usage.h"

namespace citronlane {

/// Sums up the usage of each class between two reports to the control VMs.
/// Thread safe.
class UsageMeter {
 public:
  explicit UsageMeter(TimePoint start);

  /// Adds one admitted request and its cost in micro-units.
  void Add(const std::string& class_name, double cost);

  /// Returns the usage since the last call, or since the construction, and
  /// resets it.
  std::vector<ClassUsage> Take(TimePoint now);

 private:
  struct Sum {
    double cost_ = 0;
    double requests_ = 0;
  };

  std::mutex mutex_;
  TimePoint since_;
  std::map<std::string, Sum> sums_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_USAGE_METER_H_
