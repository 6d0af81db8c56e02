#ifndef CITRONLANE_TRANSPORT_DETAIL_HTTP_STREAM_H_
#define CITRONLANE_TRANSPORT_DETAIL_HTTP_STREAM_H_

#include <optional>
#include <utility>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "citronlane/base/time.h"

namespace citronlane::detail {

/// A caller's connection, with or without TLS, with a timeout for its
/// operations. An AsyncStream of Boost.Asio. Not thread safe.
class HttpStream {
 public:
  using Socket =
      boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                       boost::asio::io_context::executor_type>;
  using executor_type = boost::asio::io_context::executor_type;

  /// Without TLS if `tls` is null; otherwise `tls` must outlive the stream.
  HttpStream(Socket socket, boost::asio::ssl::context* tls)
      : plain_(std::move(socket)) {
    if (tls != nullptr) {
      tls_.emplace(plain_, *tls);
    }
  }
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

  bool has_tls() const { return tls_.has_value(); }

  /// The server's side of the TLS handshake. Precondition: has_tls().
  void Handshake(const boost::asio::yield_context& yield,
                 boost::system::error_code* error) {
    tls_->async_handshake(boost::asio::ssl::stream_base::server, yield[*error]);
  }

  void ExpiresAfter(Duration time) { plain_.expires_after(time); }
  void ExpiresNever() { plain_.expires_never(); }
  void Close() { plain_.close(); }
  Socket& socket() { return plain_.socket(); }

  // The names below are those of Boost.Asio's concept.
  executor_type get_executor() { return plain_.get_executor(); }

  template <typename Buffers, typename Handler>
  auto async_read_some(const Buffers& buffers, Handler&& handler) {
    return tls_ ? tls_->async_read_some(buffers, std::forward<Handler>(handler))
                : plain_.async_read_some(buffers,
                                         std::forward<Handler>(handler));
  }

  template <typename Buffers, typename Handler>
  auto async_write_some(const Buffers& buffers, Handler&& handler) {
    return tls_
               ? tls_->async_write_some(buffers, std::forward<Handler>(handler))
               : plain_.async_write_some(buffers,
                                         std::forward<Handler>(handler));
  }

 private:
  using Plain = boost::beast::basic_stream<boost::asio::ip::tcp, executor_type>;

  Plain plain_;
  std::optional<boost::asio::ssl::stream<Plain&>> tls_;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_HTTP_STREAM_H_
