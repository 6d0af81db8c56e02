#ifndef CITRONLANE_CONFIG_CLASS_CONFIG_H_
#define CITRONLANE_CONFIG_CLASS_CONFIG_H_

#include <optional>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// Targets and limits of one class of requests, as operators declare them.
/// Weights, admission limits and deadline splits are derived from them.
struct ClassConfig {
  std::string name_;
  /// Time to the first token; absent for classes without a stream.
  std::optional<Duration> first_token_target_;
  /// Time to the full response.
  Duration answer_target_{};
  /// Fraction of requests, 0 to 1, that must meet both times.
  double attainment_ = 0.95;
  /// Largest cost of one request, in micro-units; absent for no limit.
  std::optional<double> spend_per_request_;
  /// Largest cost of all requests of the fleet per hour, in micro-units; absent
  /// for no limit.
  std::optional<double> spend_per_hour_;
  /// Batch work uses idle capacity and yields to interactive work
  /// immediately.
  bool batch_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_CLASS_CONFIG_H_
