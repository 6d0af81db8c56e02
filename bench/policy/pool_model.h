#ifndef CITRONLANE_BENCH_POLICY_POOL_MODEL_H_
#define CITRONLANE_BENCH_POLICY_POOL_MODEL_H_

#include <string>

#include "citronlane/base/time.h"
#include "citronlane/config/stage_kind.h"

namespace citronlane {

/// Service times of the servers of one pool, for ServerModel.
struct PoolModel {
  std::string name_;
  StageKind kind_ = StageKind::kService;
  int servers_ = 1;
  /// Calls a server works on at once; the others queue.
  int slots_ = 1;
  bool reports_load_ = true;
  /// Mean time of a call; for engines the time to read the prompt.
  Duration call_time_{};
  /// Engines: time of a token with one call, and its growth with each further
  /// call.
  Duration token_time_{};
  double token_time_growth_ = 0;
  /// Engines: prefill time with a cached prefix relative to that without, and
  /// the number of prefixes that a server caches.
  double cached_prefill_ratio_ = 1;
  int cached_prefixes_ = 0;
  double cost_per_call_ = 0;
  double cost_per_token_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_POOL_MODEL_H_
