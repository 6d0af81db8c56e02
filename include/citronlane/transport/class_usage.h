#ifndef CITRONLANE_TRANSPORT_CLASS_USAGE_H_
#define CITRONLANE_TRANSPORT_CLASS_USAGE_H_

#include <string>

namespace citronlane {

/// What a gateway used of a class since its last report.
struct ClassUsage {
  std::string class_name_;
  /// Micro-units of the declared costs.
  double spent_ = 0;
  /// Rate of requests that arrive, for the size of the next share.
  double requests_per_second_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CLASS_USAGE_H_
