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

/// The router of one pool and its budgets for hedges and retries, protected by
/// a lock of their own. Shared by all threads of the gateway. Thread safe.
class PoolShard {
 public:
  /// The ratios are the budgets as a fraction of the first calls.
  PoolShard(const PoolConfig& pool,
            const RouterOptions& options,
            double hedge_ratio,
            double retry_ratio,
            uint64_t seed);

  /// Applies a new configuration; load and latency data of the servers that
  /// remain are kept.
  void Update(const PoolConfig& pool, TimePoint now);

  /// Chooses a server and records the start of the call; each call that is
  /// placed must be ended by OnFinish. Servers in `excluded` are used only if
  /// `may_fall_back` is set and there is no other. A call with nothing excluded
  /// counts as a first call and adds to the budgets. Returns nothing if no
  /// server is usable.
  std::optional<ServerConfig> Place(TimePoint now,
                                    const CallShape& call,
                                    absl::Span<const std::string> excluded,
                                    bool may_fall_back);

  /// Like Place, but on the given server. Returns nothing if the server is no
  /// longer configured.
  std::optional<ServerConfig> PlaceOn(std::string_view server,
                                      TimePoint now,
                                      const CallShape& call);

  /// These report to the PoolRouter; see its methods of the same names.
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

  /// See PoolRouter::OnPlanned.
  void OnPlanned(int calls);

  /// Takes one hedge from the budget. Returns false if HedgePolicy decides
  /// against it, for example because the budget is spent.
  bool TakeHedge(const HedgeQuery& query);
  /// Takes one retry from the budget; false if it is spent.
  bool TakeRetry();

 private:
  /// Records the start of a call; nothing if the server isn't configured.
  std::optional<ServerConfig> StartOn(const std::string& server,
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
