#ifndef CITRONLANE_ROUTING_ROUTER_OPTIONS_H_
#define CITRONLANE_ROUTING_ROUTER_OPTIONS_H_

#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// How a PoolRouter decides. Each mechanism can be switched off, so that its
/// effect can be measured.
struct RouterOptions {
  enum class Choice { kRoundRobin, kLeastInFlight, kExpectedFinish };

  Choice choice_ = Choice::kExpectedFinish;
  bool domain_preference_ = true;
  bool prefix_affinity_ = true;
  bool ejection_ = true;
  /// Failure domain of this gateway.
  std::string failure_domain_;
  /// Prefix affinity applies up to this multiple of the candidates' mean load
  /// plus one call.
  double affinity_load_factor_ = 1.25;
  /// Largest fraction of a pool that may be ejected at once.
  double max_ejected_fraction_ = 0.34;
  /// Quantile of call times after which a hedge starts.
  double hedge_quantile_ = 0.95;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_ROUTER_OPTIONS_H_
