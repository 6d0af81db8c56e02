#ifndef CITRONLANE_BENCH_POLICY_POOL_MODEL_H_
#define CITRONLANE_BENCH_POLICY_POOL_MODEL_H_

#include <string>

#include "citronlane/base/time.h"
#include "citronlane/config/stage_kind.h"

namespace citronlane {

/// Service times of the servers of a pool, for ServerModel.
struct PoolModel {
  std::string name_;
  StageKind kind_ = StageKind::kService;
  int servers_ = 1;
  /// Number of calls that a server runs concurrently; others are queued.
  int slots_ = 1;
  bool reports_load_ = true;
  /// Mean time of a call; for engines, of processing the prompt.
  Duration call_time_{};
  /// Engines: time per token with one call, and its increase for each further
  /// concurrent call.
  Duration token_time_{};
  double token_time_growth_ = 0;
  /// Engines: fraction of the prompt's processing time that remains when the
  /// prefix is cached, and number of prefixes that a server caches.
  double hit_part_ = 1;
  int cached_prefixes_ = 0;
  double cost_per_call_ = 0;
  double cost_per_token_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_POOL_MODEL_H_
