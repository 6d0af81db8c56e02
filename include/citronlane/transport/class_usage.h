#ifndef CITRONLANE_TRANSPORT_CLASS_USAGE_H_
#define CITRONLANE_TRANSPORT_CLASS_USAGE_H_

#include <string>

namespace citronlane {

/// Usage of a class at one gateway since its last report.
struct ClassUsage {
  std::string class_name_;
  /// Sum of the configured costs, in micro-units.
  double spent_ = 0;
  /// Rate of admitted requests; the control VMs size the next spend share by
  /// it.
  double requests_per_second_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CLASS_USAGE_H_
