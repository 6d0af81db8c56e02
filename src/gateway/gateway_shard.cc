#include "citronlane/gateway/detail/gateway_shard.h"

#include <utility>

#include "citronlane/gateway/gateway_events.h"

namespace citronlane::detail {

GatewayShard::GatewayShard(
    const StageLimits& limits,
    PoolShards* pools,
    CrashGuard* crashes,
    const GatewayEvents* events,
    std::function<void(std::string_view server)> on_leaving)
    : io_(1), work_(boost::asio::make_work_guard(io_)), client_(&io_, limits) {
  context_.io_ = &io_;
  context_.client_ = &client_;
  context_.pools_ = pools;
  context_.crashes_ = crashes;
  context_.on_call_ = [events](std::string_view pool, CallOutcome outcome,
                               Duration /*latency*/, uint32_t tokens,
                               size_t /*in_flight*/) {
    if (events->on_call_) {
      events->on_call_(pool, outcome, tokens);
    }
  };
  context_.on_retry_ = [events](std::string_view pool, RetryReason reason) {
    if (events->on_retry_) {
      events->on_retry_(pool, reason);
    }
  };
  context_.on_hedge_ = [events](std::string_view pool, bool won) {
    if (events->on_hedge_) {
      events->on_hedge_(pool, won);
    }
  };
  context_.on_drop_ = [events](std::string_view pool, std::string_view why) {
    if (events->on_drop_) {
      events->on_drop_(pool, why);
    }
  };
  context_.on_leaving_ = std::move(on_leaving);
}

}  // namespace citronlane::detail
