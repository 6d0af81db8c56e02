#ifndef CITRONLANE_TRANSPORT_DETAIL_CONNECTION_POOL_H_
#define CITRONLANE_TRANSPORT_DETAIL_CONNECTION_POOL_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/time.h"
#include "citronlane/transport/detail/stage_connection.h"
#include "citronlane/transport/stage_limits.h"

namespace citronlane::detail {

/// Kept-alive connections of one client, by server. Not thread safe.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context* io, const StageLimits& limits);

  /// The connection that was used last, unless it has been idle for too long.
  std::unique_ptr<StageConnection> TakeIdle(const std::string& key,
                                            Duration longest_idle);
  void GiveBack(const std::string& key,
                std::unique_ptr<StageConnection> connection);

  boost::asio::io_context* io() const { return io_; }
  const StageLimits& limits() const { return limits_; }
  size_t idle_connections() const;

 private:
  void CloseAged();

  boost::asio::io_context* const io_;
  const StageLimits limits_;
  TimePoint next_close_{};
  std::map<std::string, std::vector<std::unique_ptr<StageConnection>>> idle_;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_CONNECTION_POOL_H_
