#include "citronlane/gateway/pool_shard.h"

#include "citronlane/config/pool_config.h"

namespace citronlane {
namespace {

/// Retries that the budget can accumulate for a burst.
constexpr double kRetryBudgetBurst = 10;

}  // namespace

PoolShard::PoolShard(const PoolConfig& pool,
                     const RouterOptions& options,
                     double hedge_ratio,
                     double retry_ratio,
                     uint64_t seed)
    : random_(seed),
      router_(pool,
              options,
              [this](uint64_t bound) { return random_() % bound; }),
      hedges_(hedge_ratio),
      retries_(retry_ratio, kRetryBudgetBurst),
      servers_(pool.servers_.begin(), pool.servers_.end()) {}

void PoolShard::Update(const PoolConfig& pool, TimePoint now) {
  const std::lock_guard lock(mutex_);
  router_.Update(pool, now);
  servers_ = {pool.servers_.begin(), pool.servers_.end()};
}

std::optional<ServerConfig> PoolShard::Place(
    TimePoint now,
    const CallShape& call,
    absl::Span<const std::string> excluded,
    bool may_fall_back) {
  const std::lock_guard lock(mutex_);
  Error error;
  auto choice = router_.Choose(now, call, excluded, &error);
  if (!choice && may_fall_back && !excluded.empty()) {
    choice = router_.Choose(now, call, {}, &error);
  }
  if (!choice) {
    return std::nullopt;
  }
  if (excluded.empty()) {
    hedges_.OnFirstCall();
    retries_.Earn();
  }
  return StartOn(choice->server_, now, call);
}

std::optional<ServerConfig> PoolShard::PlaceOn(std::string_view server,
                                               TimePoint now,
                                               const CallShape& call) {
  const std::lock_guard lock(mutex_);
  return StartOn(std::string(server), now, call);
}

std::optional<ServerConfig> PoolShard::StartOn(const std::string& server,
                                               TimePoint now,
                                               const CallShape& call) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) {
    return std::nullopt;
  }
  router_.OnStart(server, now, call);
  return found->second;
}

void PoolShard::OnFirstByte(std::string_view server,
                            TimePoint now,
                            Duration latency) {
  const std::lock_guard lock(mutex_);
  router_.OnFirstByte(server, now, latency);
}

void PoolShard::OnFinish(std::string_view server,
                         TimePoint now,
                         CallOutcome outcome,
                         Duration latency,
                         uint32_t tokens,
                         const CallShape& call) {
  const std::lock_guard lock(mutex_);
  router_.OnFinish(server, now, outcome, latency, tokens, call);
}

void PoolShard::OnLoadReport(std::string_view server,
                             TimePoint now,
                             Duration age,
                             double queued_calls) {
  const std::lock_guard lock(mutex_);
  router_.OnLoadReport(server, now, age, queued_calls);
}

void PoolShard::OnLeaving(std::string_view server,
                          uint64_t incarnation,
                          TimePoint now) {
  const std::lock_guard lock(mutex_);
  router_.OnLeaving(server, incarnation, now);
}

void PoolShard::OnAlive(std::string_view server,
                        uint64_t incarnation,
                        TimePoint now) {
  const std::lock_guard lock(mutex_);
  router_.OnAlive(server, incarnation, now);
}

std::optional<Duration> PoolShard::HedgeDelay(const CallShape& call) const {
  const std::lock_guard lock(mutex_);
  return router_.HedgeDelay(call);
}

std::optional<Duration> PoolShard::LatencyQuantile(double quantile) const {
  const std::lock_guard lock(mutex_);
  return router_.LatencyQuantile(quantile);
}

std::optional<Duration> PoolShard::StreamStallTimeout() const {
  const std::lock_guard lock(mutex_);
  return router_.StreamStallTimeout();
}

PoolEstimate PoolShard::Estimate(TimePoint now, const CallShape& call) const {
  const std::lock_guard lock(mutex_);
  PoolEstimate estimate;
  estimate.finish_ = router_.ExpectedFinish(now, call);
  estimate.first_byte_ = router_.ExpectedFirstByte(now, call);
  estimate.down_ = router_.IsDown(now);
  estimate.in_flight_ = router_.in_flight();
  estimate.usable_servers_ = router_.usable_servers(now);
  return estimate;
}

size_t PoolShard::in_flight() const {
  const std::lock_guard lock(mutex_);
  return router_.in_flight();
}

bool PoolShard::TakeHedge(const HedgeQuery& query) {
  const std::lock_guard lock(mutex_);
  return hedges_.Decide(query) == HedgeOutcome::kHedged;
}

void PoolShard::OnPlanned(int calls) {
  const std::lock_guard lock(mutex_);
  router_.OnPlanned(calls);
}

bool PoolShard::TakeRetry() {
  const std::lock_guard lock(mutex_);
  return retries_.TrySpend();
}

}  // namespace citronlane
