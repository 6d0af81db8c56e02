#ifndef CITRONLANE_TRANSPORT_DETAIL_CONNECTION_POOL_H_
#define CITRONLANE_TRANSPORT_DETAIL_CONNECTION_POOL_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "citronlane/base/time.h"
#include "citronlane/transport/detail/stage_connection.h"
#include "citronlane/transport/reply_memory.h"
#include "citronlane/transport/stage_limits.h"

namespace citronlane {
struct StageCallSpec;
}  // namespace citronlane

namespace citronlane::detail {

/// Makes the connections of one StageClient, and keeps idle ones. `key` is the
/// server's address with the connection group. Not thread safe.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context* io, const StageLimits& limits);

  /// Returns a connection that Connect() can connect.
  std::unique_ptr<StageConnection> MakeConnection() const;
  /// Connects to the server of a call, until its deadline at the latest.
  /// Returns false if that has failed.
  bool Connect(StageConnection* connection,
               const StageCallSpec& spec,
               const boost::asio::yield_context& yield) const;
  /// Returns the connection that was used last, or null if there is none that
  /// has been idle for less than `max_idle_time` and is still usable.
  std::unique_ptr<StageConnection> TakeIdle(const std::string& key,
                                            Duration max_idle_time);
  /// Keeps a connection, or closes it if there are too many for the key.
  void PutIdle(const std::string& key,
               std::unique_ptr<StageConnection> connection);

  boost::asio::io_context* io() const { return io_; }
  const StageLimits& limits() const { return limits_; }
  size_t idle_connections() const;
  /// Memory of the replies that the client's calls keep until they are whole.
  ReplyMemory* reply_memory() { return &reply_memory_; }

 private:
  void CloseExpired();

  boost::asio::io_context* const io_;
  const StageLimits limits_;
  ReplyMemory reply_memory_;
  TimePoint next_expiry_check_{};
  std::map<std::string, std::vector<std::unique_ptr<StageConnection>>> idle_;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_CONNECTION_POOL_H_
