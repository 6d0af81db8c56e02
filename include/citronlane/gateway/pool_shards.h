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

/// The pools in force, each a shard of its own. Thread safe.
class PoolShards {
 public:
  PoolShards(RouterOptions options, double hedge_ratio, double retry_ratio);

  /// Takes a new version; pools that go on keep what they learned.
  void Update(const ClusterConfig& config, TimePoint now);

  /// Returns the pool, or null. The caller may keep it beyond an Update.
  std::shared_ptr<PoolShard> Find(std::string_view pool) const;

  /// Tells every pool that the server is leaving.
  void OnLeaving(std::string_view server, uint64_t incarnation, TimePoint now);
  /// Tells every pool that the server lives in this incarnation.
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
