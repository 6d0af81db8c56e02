#include "citronlane/gateway/pool_shards.h"

#include <mutex>
#include <random>
#include <utility>

#include "citronlane/config/cluster_config.h"

namespace citronlane {

PoolShards::PoolShards(RouterOptions options,
                       double hedge_ratio,
                       double retry_ratio)
    : options_(std::move(options)),
      hedge_ratio_(hedge_ratio),
      retry_ratio_(retry_ratio) {}

void PoolShards::Update(const ClusterConfig& config, TimePoint now) {
  std::random_device seeds;
  const std::unique_lock lock(mutex_);
  Map pools;
  for (const auto& [name, pool] : config.pools_) {
    const auto known = pools_.find(name);
    if (known != pools_.end()) {
      known->second->Update(pool, now);
      pools.emplace(name, known->second);
    } else {
      pools.emplace(name,
                    std::make_shared<PoolShard>(pool, options_, hedge_ratio_,
                                                retry_ratio_, seeds()));
    }
  }
  pools_ = std::move(pools);
}

std::shared_ptr<PoolShard> PoolShards::Find(std::string_view pool) const {
  const std::shared_lock lock(mutex_);
  const auto found = pools_.find(pool);
  return found == pools_.end() ? nullptr : found->second;
}

void PoolShards::OnLeaving(std::string_view server,
                           uint64_t incarnation,
                           TimePoint now) {
  const std::shared_lock lock(mutex_);
  for (const auto& [name, pool] : pools_) {
    pool->OnLeaving(server, incarnation, now);
  }
}

void PoolShards::OnAlive(std::string_view server,
                         uint64_t incarnation,
                         TimePoint now) {
  const std::shared_lock lock(mutex_);
  for (const auto& [name, pool] : pools_) {
    pool->OnAlive(server, incarnation, now);
  }
}

}  // namespace citronlane
