#include "citronlane/transport/detail/connection_pool.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/endpoint.h"
#include "citronlane/transport/detail/reply_reading.h"
#include "citronlane/transport/stage_call_spec.h"

namespace citronlane::detail {
namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;
namespace asio = boost::asio;
using Connection = StageConnection;
using ConnectionPtr = std::unique_ptr<StageConnection>;

/// TCP user timeout: a connection fails if the server acknowledges nothing for
/// this long. Several times the kernel's first retransmissions on links with a
/// latency of a few milliseconds.
constexpr int kUnacknowledgedTimeoutMs = 2000;

/// Whether the server has closed an idle connection or sent unexpected bytes on
/// it.
bool IsStale(Connection* connection) {
  auto& socket = connection->stream_.socket();
  error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

}  // namespace

ConnectionPool::ConnectionPool(asio::io_context* io, const StageLimits& limits)
    : io_(io), limits_(limits), reply_memory_(limits) {}

ConnectionPtr ConnectionPool::MakeConnection() const {
  return std::make_unique<Connection>(
      io_, limits_.reply_header_bytes_ + kReadBufferBytes);
}

bool ConnectionPool::Connect(Connection* connection,
                             const StageCallSpec& spec,
                             const asio::yield_context& yield) const {
  error_code error;
  const auto address = asio::ip::make_address(spec.address_, error);
  if (!error) {
    connection->stream_.expires_at(std::min<TimePoint>(
        spec.deadline_, SteadyNow() + limits_.connect_timeout_));
    connection->stream_.async_connect(tcp::endpoint(address, spec.port_),
                                      yield[error]);
  }
  if (!error) {
    SetSocketOptions(connection->stream_.socket().native_handle(),
                     kUnacknowledgedTimeoutMs);
  }
  return !error;
}

ConnectionPtr ConnectionPool::TakeIdle(const std::string& key,
                                       Duration max_idle_time) {
  std::vector<ConnectionPtr>& idle = idle_[key];
  while (!idle.empty()) {
    const Connection& last = *idle.back();
    const Duration age = SteadyNow() - last.idle_since_;
    if (age >= max_idle_time && age < limits_.idle_timeout_) {
      // A call with a higher limit may still use it.
      return nullptr;
    }
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (age < connection->idle_limit_.value_or(limits_.idle_timeout_) &&
        !IsStale(connection.get())) {
      return connection;
    }
  }
  return nullptr;
}

void ConnectionPool::PutIdle(const std::string& key, ConnectionPtr connection) {
  CloseExpired();
  std::vector<ConnectionPtr>& idle = idle_[key];
  if (idle.size() < limits_.idle_connections_) {
    connection->idle_since_ = SteadyNow();
    connection->stream_.expires_never();
    idle.push_back(std::move(connection));
  }
}

size_t ConnectionPool::idle_connections() const {
  size_t count = 0;
  for (const auto& [key, idle] : idle_) {
    count += idle.size();
  }
  return count;
}

// Closes expired connections of all servers periodically: no call takes one to
// a removed server, so they would otherwise stay open.
void ConnectionPool::CloseExpired() {
  const TimePoint now = SteadyNow();
  if (now < next_expiry_check_) {
    return;
  }
  next_expiry_check_ = now + limits_.idle_timeout_;
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::vector<ConnectionPtr>& idle = entry->second;
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [this, now](const ConnectionPtr& connection) {
                                return now - connection->idle_since_ >=
                                       limits_.idle_timeout_;
                              }),
               idle.end());
    entry = idle.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace citronlane::detail
