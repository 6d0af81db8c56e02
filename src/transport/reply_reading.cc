#include "citronlane/transport/detail/reply_reading.h"
#include "citronlane/net/traffic_count.h"

#include <algorithm>

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include "citronlane/transport/detail/stage_connection.h"

namespace citronlane::detail {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Maximum size of one read of a head.
constexpr size_t kHeadReadBytes = 4096;

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
