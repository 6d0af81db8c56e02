#ifndef CITRONLANE_TRANSPORT_DETAIL_STAGE_CONNECTION_H_
#define CITRONLANE_TRANSPORT_DETAIL_STAGE_CONNECTION_H_

#include <cstddef>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "citronlane/base/time.h"

namespace citronlane::detail {

/// One connection to a backend server. Not thread safe.
struct StageConnection {
  using Stream =
      boost::beast::basic_stream<boost::asio::ip::tcp,
                                 boost::asio::io_context::executor_type>;

  /// `buffer_bytes` bounds what is read ahead, which includes any part of a
  /// reply that can be parsed only as a whole.
  StageConnection(boost::asio::io_context* io, size_t buffer_bytes)
      : stream_(*io), buffer_(buffer_bytes) {}

  Stream stream_;
  boost::beast::flat_buffer buffer_;
  TimePoint idle_since_{};
  /// How long the connection may be reused, by the server's Keep-Alive header.
  std::optional<Duration> idle_limit_;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_STAGE_CONNECTION_H_
