#ifndef CITRONLANE_GATEWAY_POOL_SHARDS_H_
#define CITRONLANE_GATEWAY_POOL_SHARDS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/gateway/pool_shard.h"
#include "citronlane/routing/router_options.h"

namespace citronlane {

struct ClusterConfig;

/// The pools of the configuration in force, each with a lock of its own. Thread
/// safe.
class PoolShards {
 public:
  PoolShards(RouterOptions options, double hedge_ratio, double retry_ratio);

  /// Applies a new configuration; pools that remain keep their load and latency
  /// data.
  void Update(const ClusterConfig& config, TimePoint now);

  /// Returns the pool, or null if there is none of that name. It remains usable
  /// after an Update that removes it.
  std::shared_ptr<PoolShard> Find(std::string_view pool) const;

  /// Reports to every pool that the server is draining.
  void OnLeaving(std::string_view server, uint64_t incarnation, TimePoint now);
  /// Reports to every pool that the server runs with this incarnation.
  void OnAlive(std::string_view server, uint64_t incarnation, TimePoint now);

 private:
  using Map = std::map<std::string, std::shared_ptr<PoolShard>, std::less<>>;

  const RouterOptions options_;
  const double hedge_ratio_;
  const double retry_ratio_;
  mutable std::shared_mutex mutex_;
  Map pools_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_POOL_SHARDS_H_
