#ifndef CITRONLANE_CONFIG_CLASS_CONFIG_H_
#define CITRONLANE_CONFIG_CLASS_CONFIG_H_

#include <optional>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// Target of one class of work, as operators declare it. Everything else
/// (weights, limits, splits) is derived.
struct ClassConfig {
  std::string name_;
  /// Time to the first token; absent for classes without a stream.
  std::optional<Duration> first_token_target_;
  /// Time to the whole answer.
  Duration answer_target_{};
  /// Share of requests, 0 to 1, that must meet both times.
  double attainment_ = 0.95;
  /// Upper bound for one request, in micro-units of the declared costs.
  std::optional<double> spend_per_request_;
  /// Upper bound per hour over the whole fleet, same unit.
  std::optional<double> spend_per_hour_;
  /// Batch work takes what is left and yields at once.
  bool batch_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_CLASS_CONFIG_H_
