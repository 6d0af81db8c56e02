#ifndef CITRONLANE_GATEWAY_DETAIL_IN_FLIGHT_CALL_H_
#define CITRONLANE_GATEWAY_DETAIL_IN_FLIGHT_CALL_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/base/time.h"
#include "citronlane/config/server_config.h"
#include "citronlane/gateway/pool_shard.h"
#include "citronlane/request/attempt_id.h"
#include "citronlane/routing/call_shape.h"
#include "citronlane/transport/stage_call.h"
#include "citronlane/transport/stage_reply_head.h"
#include "citronlane/transport/stage_token_reader.h"

namespace citronlane::detail {

/// One stage call of a RequestDriver that is in flight.
struct InFlightCall {
  explicit InFlightCall(boost::asio::io_context* io) : hedge_timer_(*io) {}

  /// Endpoint of the server as "IP:port".
  std::string Endpoint() const {
    return server_.address_ + ":" + std::to_string(server_.port_);
  }

  AttemptId id_;
  bool hedge_ = false;
  ServerConfig server_;
  std::string pool_name_;
  std::shared_ptr<PoolShard> pool_;
  CallShape shape_;
  TimePoint started_{};
  TimePoint deadline_{};
  bool first_byte_ = false;
  TimePoint first_byte_at_{};
  uint32_t tokens_ = 0;
  StageReplyHead head_;
  std::shared_ptr<StageCall> stage_call_;
  /// Set for streamed calls only.
  std::unique_ptr<StageTokenReader> reader_;
  boost::asio::steady_timer hedge_timer_;
  bool ended_ = false;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_GATEWAY_DETAIL_IN_FLIGHT_CALL_H_
