#ifndef CITRONLANE_GATEWAY_USAGE_METER_H_
#define CITRONLANE_GATEWAY_USAGE_METER_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/transport/class_usage.h"

namespace citronlane {

/// Adds up what each class used between two reports to control. Thread safe.
class UsageMeter {
 public:
  explicit UsageMeter(TimePoint start);

  /// A request of the class was admitted and cost this much.
  void Add(const std::string& class_name, double cost);

  /// Returns what was used since the last call.
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
