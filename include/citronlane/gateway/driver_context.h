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

class CrashGuard;
class PoolShards;
class StageClient;

/// Dependencies shared by the RequestDrivers of one thread. Every member must
/// be set, and every pointer must outlive the drivers.
struct DriverContext {
  boost::asio::io_context* io_ = nullptr;
  StageClient* client_ = nullptr;
  PoolShards* pools_ = nullptr;
  CrashGuard* crashes_ = nullptr;
  /// A stage call ended; `in_flight` other calls to the pool are in flight.
  std::function<void(std::string_view pool,
                     CallOutcome outcome,
                     Duration latency,
                     uint32_t tokens,
                     size_t in_flight)>
      on_call_;
  /// A stage call is about to be repeated.
  std::function<void(std::string_view pool, RetryReason reason)> on_retry_;
  /// A hedge ended; `won` if its result was used.
  std::function<void(std::string_view pool, bool won)> on_hedge_;
  /// A result was discarded; see GatewayEvents::on_drop_ for `why`.
  std::function<void(std::string_view pool, std::string_view why)> on_drop_;
  /// A backend server announced in a reply that it is draining.
  std::function<void(std::string_view server)> on_leaving_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_DRIVER_CONTEXT_H_
