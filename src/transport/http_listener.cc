#include "citronlane/transport/http_listener.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/transport/detail/coroutine.h"
#include "citronlane/transport/detail/http_connection.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;
using detail::HttpConnection;
using detail::HttpConnectionSet;
using detail::HttpListenerState;

/// Delay after accept has failed, for example because no file descriptor is
/// free.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

class HttpListener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(std::vector<asio::io_context*> shards,
       const HttpLimits& limits,
       HttpListenerHooks hooks,
       std::shared_ptr<asio::ssl::context> tls)
      : shards_(std::move(shards)),
        acceptor_(*shards_.front()),
        state_(std::make_shared<HttpListenerState>(limits,
                                                   std::move(hooks),
                                                   std::move(tls))) {
    for (size_t i = 0; i < shards_.size(); ++i) {
      connections_.push_back(std::make_shared<HttpConnectionSet>());
    }
  }

  bool Listen(const std::string& address, uint16_t port, Error* error) {
    error_code failure;
    const auto ip = asio::ip::make_address(address, failure);
    const tcp::endpoint endpoint(ip, port);
    if (!failure) {
      acceptor_.open(endpoint.protocol(), failure);
    }
    if (!failure) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), failure);
      // Accepted sockets inherit it. A system without this option bounds the
      // buffers by itself.
      error_code ignored;
      acceptor_.set_option(
          asio::socket_base::receive_buffer_size(
              static_cast<int>(state_->limits_.receive_buffer_bytes_)),
          ignored);
      acceptor_.bind(endpoint, failure);
    }
    if (!failure) {
      acceptor_.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
      error->message_ = "can't listen on " + address + ":" +
                        std::to_string(port) + ": " + failure.message();
      return false;
    }
    port_ = acceptor_.local_endpoint().port();
    Accept();
    return true;
  }

  void SetLimits(const HttpLimits& limits) {
    state_->limits_ = limits;
    for (HttpConnection* connection : *connections_.front()) {
      connection->UpdateIdleTimeout();
    }
  }

  void StopAccepting() {
    state_->close_after_replies_ = true;
    state_->stopped_ = true;
    auto self = shared_from_this();
    asio::post(*shards_.front(), [self] {
      error_code error;
      self->acceptor_.close(error);
    });
    for (size_t i = 0; i < shards_.size(); ++i) {
      asio::post(*shards_[i], [peers = connections_[i]] {
        for (HttpConnection* connection : *peers) {
          connection->CloseIfIdle();
        }
      });
    }
  }

  uint16_t port() const { return port_; }
  HttpListenerState* state() const { return state_.get(); }

 private:
  void Accept() {
    const size_t shard = next_shard_++ % shards_.size();
    auto self = shared_from_this();
    acceptor_.async_accept(
        *shards_[shard],
        [self, shard](const error_code& error, HttpConnection::Socket socket) {
          if (!self->acceptor_.is_open()) {
            return;
          }
          if (!error) {
            self->Serve(std::move(socket), shard);
          }
          self->AcceptAgain(error);
        });
  }

  /// Accepts the next connection; after an error with a delay, so that it
  /// doesn't spin while file descriptors are exhausted.
  void AcceptAgain(const error_code& error) {
    if (!error) {
      Accept();
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(*shards_.front(),
                                                      kAcceptRetryDelay);
    auto self = shared_from_this();
    timer->async_wait([self, timer](const error_code&) {
      if (self->acceptor_.is_open()) {
        self->Accept();
      }
    });
  }

  void Serve(HttpConnection::Socket socket, size_t shard) {
    asio::io_context* const io = shards_[shard];
    const HttpLimits& limits = state_->limits_;
    const bool is_full = state_->connections_ >=
                         limits.connections_ + limits.refused_connections_;
    // This runs on the thread of the first shard.
    if (is_full &&
        !connections_.front()->CloseOne(PlaceNeeded::kConnection,
                                        state_->MinReadRate(), nullptr)) {
      state_->hooks_.refuse_(RefusalReason::kTooManyConnections);
      return;
    }
    auto connection = std::make_shared<HttpConnection>(
        std::move(socket), io, state_, connections_[shard], shard);
    asio::spawn(
        *io,
        [connection](const asio::yield_context& yield) {
          connection->Run(yield);
        },
        detail::CoroutineAttributes());
  }

  const std::vector<asio::io_context*> shards_;
  tcp::acceptor acceptor_;
  const std::shared_ptr<HttpListenerState> state_;
  std::vector<std::shared_ptr<HttpConnectionSet>> connections_;
  size_t next_shard_ = 0;
  uint16_t port_ = 0;
};

HttpListener::HttpListener(std::vector<asio::io_context*> shards,
                           const HttpLimits& limits,
                           HttpListenerHooks hooks,
                           std::shared_ptr<asio::ssl::context> tls)
    : impl_(std::make_shared<Impl>(std::move(shards),
                                   limits,
                                   std::move(hooks),
                                   std::move(tls))) {}

HttpListener::~HttpListener() = default;

bool HttpListener::Listen(const std::string& address,
                          uint16_t port,
                          Error* error) {
  return impl_->Listen(address, port, error);
}

uint16_t HttpListener::port() const {
  return impl_->port();
}

void HttpListener::SetLimits(const HttpLimits& limits) {
  impl_->SetLimits(limits);
}

void HttpListener::CloseAfterReplies() {
  impl_->state()->close_after_replies_ = true;
}

void HttpListener::StopAccepting() {
  impl_->StopAccepting();
}

size_t HttpListener::active_requests() const {
  return impl_->state()->active_requests_;
}

size_t HttpListener::open_requests() const {
  return impl_->state()->open_requests_;
}

size_t HttpListener::connections() const {
  return impl_->state()->connections_;
}

}  // namespace citronlane
