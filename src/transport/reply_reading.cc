#include "citronlane/transport/detail/reply_reading.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/traffic_count.h"
#include "citronlane/transport/detail/stage_connection.h"

namespace citronlane::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Maximum size of one read of a head.
constexpr size_t kHeadReadBytes = 4096;

/// Pauses between two checks whether a peer has taken a call.
constexpr Duration kFirstCheckPause = std::chrono::milliseconds(1);
constexpr Duration kMaxCheckPause = std::chrono::milliseconds(20);
/// A peer that ends its side without having read the whole call closes its
/// socket, which resets the connection, this soon after.
constexpr Duration kResetWait = std::chrono::milliseconds(100);
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;

bool HasSocketError(int socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
         error != 0;
}

/// Whether the peer has yet to acknowledge any byte of what was sent. Not known
/// on a system without such a count.
bool HasUnacknowledged(int socket) {
  int bytes = 0;
  return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void FillBuffer(StageConnection* connection,
                const asio::yield_context& yield,
                error_code* error) {
  auto& buffer = connection->buffer_;
  const size_t room = buffer.max_size() - buffer.size();
  if (room == 0) {
    *error = http::error::buffer_overflow;
    return;
  }
  const size_t got = connection->stream_.async_read_some(
      buffer.prepare(std::min(room, kHeadReadBytes)), yield[*error]);
  CountTraffic(got);
  buffer.commit(got);
}

}  // namespace

void ReadHeader(StageConnection* connection,
                size_t max_head_bytes,
                http::basic_parser<false>* parser,
                const asio::yield_context& yield,
                error_code* error) {
  auto& buffer = connection->buffer_;
  size_t head_bytes = 0;
  while (!*error && !parser->is_header_done()) {
    const size_t parsed = parser->put(buffer.data(), *error);
    buffer.consume(parsed);
    head_bytes += parsed;
    if (*error == http::error::need_more) {
      *error = {};
      if (head_bytes > max_head_bytes) {
        *error = http::error::header_limit;
        return;
      }
      FillBuffer(connection, yield, error);
      if (*error == asio::error::eof) {
        *error = parser->got_some() ? http::error::partial_message
                                    : http::error::end_of_stream;
      }
    }
  }
}

size_t ReadSome(StageConnection* connection,
                http::response_parser<http::buffer_body>* parser,
                std::vector<char>* buffer,
                const asio::yield_context& yield,
                error_code* error) {
  auto& body = parser->get().body();
  body.data = buffer->data();
  body.size = buffer->size();
  body.more = true;
  CountTraffic(http::async_read_some(connection->stream_, connection->buffer_,
                                     *parser, yield[*error]));
  if (*error == http::error::need_buffer) {
    *error = {};
  }
  return buffer->size() - parser->get().body().size;
}

size_t ReadSome(StageConnection* connection,
                http::response_parser<http::string_body>* parser,
                const asio::yield_context& yield,
                error_code* error) {
  const size_t before = parser->get().body().size();
  CountTraffic(http::async_read_some(connection->stream_, connection->buffer_,
                                     *parser, yield[*error]));
  return parser->get().body().size() - before;
}

size_t SkipSome(StageConnection* connection,
                http::response_parser<http::buffer_body>* parser,
                const asio::yield_context& yield,
                error_code* error) {
  std::vector<char> sink(kReadBufferBytes);
  return ReadSome(connection, parser, &sink, yield, error);
}

size_t SkipSome(StageConnection* connection,
                http::response_parser<http::string_body>* parser,
                const asio::yield_context& yield,
                error_code* error) {
  return ReadSome(connection, parser, yield, error);
}

// This side stays open: a peer whose connection has ended on both sides sends
// no reset, however much it has not read.
bool HasEndedInOrder(StageConnection* connection,
                     bool has_body,
                     TimePoint deadline,
                     const asio::yield_context& yield) {
  auto& socket = connection->stream_.socket();
  const int handle = socket.native_handle();
  const TimePoint reset_by = SteadyNow() + kResetWait;
  const auto is_unclear = [&] {
    return HasUnacknowledged(handle) || SteadyNow() < reset_by;
  };
  asio::steady_timer timer(socket.get_executor());
  bool has_failed = HasSocketError(handle);
  for (Duration pause = kFirstCheckPause;
       has_body && !has_failed && is_unclear() && SteadyNow() < deadline;
       pause = std::min(kMaxCheckPause, pause * 2)) {
    error_code ignored;
    timer.expires_after(pause);
    timer.async_wait(yield[ignored]);
    has_failed = !socket.is_open() || HasSocketError(handle);
  }
  return !has_failed && !HasUnacknowledged(handle);
}

bool IsReplyStatus(int status) {
  return status >= kFirstStatus && status != kSwitchingProtocols;
}

CallOutcome OutcomeOf(const error_code& error) {
  if (error == boost::beast::error::timeout) {
    return CallOutcome::kTimeout;
  }
  const bool closed = error == http::error::end_of_stream ||
                      error == http::error::partial_message ||
                      error.category() == asio::error::get_system_category() ||
                      error.category() == asio::error::get_misc_category();
  return closed ? CallOutcome::kClosedAfterSend : CallOutcome::kServerError;
}

}  // namespace citronlane::detail
