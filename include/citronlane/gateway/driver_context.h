#ifndef CITRONLANE_GATEWAY_DRIVER_CONTEXT_H_
#define CITRONLANE_GATEWAY_DRIVER_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/request/retry_reason.h"
#include "citronlane/routing/call_outcome.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace citronlane {

class PoolShards;
class StageClient;

/// What the drivers of one thread share. Everything must be set and outlives
/// the drivers.
struct DriverContext {
  boost::asio::io_context* io_ = nullptr;
  StageClient* client_ = nullptr;
  PoolShards* pools_ = nullptr;
  /// A call of the pool ended with `in_flight` others beside it.
  std::function<void(std::string_view pool,
                     CallOutcome outcome,
                     Duration latency,
                     uint32_t tokens,
                     size_t in_flight)>
      on_call_;
  std::function<void(std::string_view pool, RetryReason reason)> on_retry_;
  std::function<void(std::string_view pool, bool won)> on_hedge_;
  std::function<void(std::string_view pool, std::string_view why)> on_drop_;
  /// A backend server said that it is leaving.
  std::function<void(std::string_view server)> on_leaving_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_DRIVER_CONTEXT_H_
