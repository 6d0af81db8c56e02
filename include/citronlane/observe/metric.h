#ifndef CITRONLANE_OBSERVE_METRIC_H_
#define CITRONLANE_OBSERVE_METRIC_H_

#include <string_view>

#include "absl/types/span.h"

namespace citronlane {

/// Definition of a metric. All metrics are constants in metric_names.h.
struct Metric {
  enum class Kind { kCounter, kGauge, kHistogram };

  std::string_view name_;
  Kind kind_;
  /// One sentence for the HELP line.
  std::string_view help_;
  /// Names of the labels, in the order their values are given.
  absl::Span<const std::string_view> labels_;
};

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_METRIC_H_
