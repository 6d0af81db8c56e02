#ifndef CITRONLANE_GATEWAY_POOL_SHARD_H_
#define CITRONLANE_GATEWAY_POOL_SHARD_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/config/server_config.h"
#include "citronlane/gateway/pool_estimate.h"
#include "citronlane/routing/budget.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/call_shape.h"
#include "citronlane/routing/hedge_policy.h"
#include "citronlane/routing/pool_router.h"
#include "citronlane/routing/router_options.h"

namespace citronlane {

struct PoolConfig;

/// One pool's router and budgets for extra calls, under their own lock. Thread
/// safe.
class PoolShard {
 public:
  PoolShard(const PoolConfig& pool,
            const RouterOptions& options,
            double hedge_ratio,
            double retry_ratio,
            uint64_t seed);

  void Update(const PoolConfig& pool, TimePoint now);

  /// Chooses a server; one of `excluded` only when `may_fall_back` and there
  /// is no other. Accounts for the call's start.
  std::optional<ServerConfig> Place(TimePoint now,
                                    const CallShape& call,
                                    absl::Span<const std::string> excluded,
                                    bool may_fall_back);

  /// Like Place, but on that server. Nothing when it is gone.
  std::optional<ServerConfig> PlaceOn(std::string_view server,
                                      TimePoint now,
                                      const CallShape& call);

  void OnFirstByte(std::string_view server, TimePoint now, Duration latency);
  void OnFinish(std::string_view server,
                TimePoint now,
                CallOutcome outcome,
                Duration latency,
                uint32_t tokens,
                const CallShape& call);
  void OnLoadReport(std::string_view server,
                    TimePoint now,
                    Duration age,
                    double queued_calls);
  void OnLeaving(std::string_view server, uint64_t incarnation, TimePoint now);

  void OnAlive(std::string_view server, uint64_t incarnation, TimePoint now);

  std::optional<Duration> HedgeDelay(const CallShape& call) const;
  std::optional<Duration> LatencyQuantile(double quantile) const;
  std::optional<Duration> StreamStallTimeout() const;
  PoolEstimate Estimate(TimePoint now, const CallShape& call) const;
  size_t in_flight() const;

  /// PoolRouter::OnPlanned.
  void OnPlanned(int calls);

  /// Take one extra call from the budget; false when it is spent or, for a
  /// hedge, when HedgePolicy has another reason against it.
  bool TakeHedge(const HedgeQuery& query);
  bool TakeRetry();

 private:
  std::optional<ServerConfig> Started(const std::string& server,
                                      TimePoint now,
                                      const CallShape& call);

  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  PoolRouter router_;
  HedgePolicy hedges_;
  Budget retries_;
  std::map<std::string, ServerConfig, std::less<>> servers_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_POOL_SHARD_H_
