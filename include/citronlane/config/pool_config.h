#ifndef CITRONLANE_CONFIG_POOL_CONFIG_H_
#define CITRONLANE_CONFIG_POOL_CONFIG_H_

#include <map>
#include <string>

#include "citronlane/config/server_config.h"
#include "citronlane/config/stage_kind.h"

namespace citronlane {

/// A set of interchangeable backend servers and the guarantees they give.
struct PoolConfig {
  std::string name_;
  StageKind kind_ = StageKind::kService;
  /// Whether the servers report their load.
  bool reports_load_ = true;
  /// Whether the servers refuse orders with an old fencing number.
  bool checks_fencing_ = false;
  /// Whether a reply of 429 or 503 proves that nothing ran.
  bool rejection_means_not_run_ = false;
  /// Cost of one call, and of one generated token, in micro-units.
  double cost_per_call_ = 0;
  double cost_per_token_ = 0;
  /// By server id.
  std::map<std::string, ServerConfig> servers_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_POOL_CONFIG_H_
