#ifndef CITRONLANE_GATEWAY_DETAIL_GATEWAY_SHARD_H_
#define CITRONLANE_GATEWAY_DETAIL_GATEWAY_SHARD_H_

#include <functional>
#include <string_view>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "citronlane/gateway/driver_context.h"
#include "citronlane/transport/stage_client.h"

namespace citronlane {

struct GatewayEvents;

namespace detail {

/// One thread of a gateway and the state that only this thread uses.
struct GatewayShard {
  /// The pointers must outlive the shard. `on_leaving` is called when a backend
  /// server announces in a reply that it is draining.
  GatewayShard(const StageLimits& limits,
               PoolShards* pools,
               CrashGuard* crashes,
               const GatewayEvents* events,
               std::function<void(std::string_view server)> on_leaving);

  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  StageClient client_;
  DriverContext context_;
  std::thread thread_;
};

}  // namespace detail
}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_DETAIL_GATEWAY_SHARD_H_
