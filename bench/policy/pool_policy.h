#ifndef CITRONLANE_BENCH_POLICY_POOL_POLICY_H_
#define CITRONLANE_BENCH_POLICY_POOL_POLICY_H_

#include "citronlane/config/pool_config.h"
#include "citronlane/routing/hedge_policy.h"
#include "citronlane/routing/pool_router.h"
#include "citronlane/routing/retry_policy.h"

namespace citronlane {

/// Routing, hedging and retry policy of a gateway for one pool.
struct PoolPolicy {
  PoolPolicy(const PoolConfig& pool,
             const RouterOptions& options,
             const PoolRouter::RandomHook& random)
      : config_(pool), router_(pool, options, random), retry_(random) {}

  const PoolConfig& config_;
  PoolRouter router_;
  HedgePolicy hedge_;
  RetryPolicy retry_;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_POOL_POLICY_H_
