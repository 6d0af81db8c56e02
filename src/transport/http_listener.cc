#include "citronlane/transport/http_listener.h"

#include <atomic>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "citronlane/transport/detail/coroutine.h"
#include "citronlane/transport/detail/http_text.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;
using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;
using Stream = beast::basic_stream<tcp, asio::io_context::executor_type>;
using Parser = http::request_parser<http::string_body>;

class Connection;

/// What the connections of one listener share.
struct ListenerState {
  ListenerState(const HttpLimits& limits, HttpListenerHooks hooks)
      : limits_(limits), hooks_(std::move(hooks)) {}

  const HttpLimits limits_;
  const HttpListenerHooks hooks_;
  std::atomic<bool> close_after_replies_{false};
  std::atomic<bool> stopped_{false};
  std::atomic<size_t> active_requests_{0};
  std::atomic<size_t> connections_{0};
};

/// Connections of one thread; touched on that thread only.
using ConnectionSet = std::unordered_set<Connection*>;

HttpRequest ToRequest(Parser* parser) {
  auto& message = parser->get();
  HttpRequest request;
  const auto method = message.method_string();
  const auto target = message.target();
  request.method_.assign(method.data(), method.size());
  request.target_.assign(target.data(), target.size());
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    request.headers_.push_back(
        {{name.data(), name.size()}, {value.data(), value.size()}});
  }
  request.body_ = std::move(message.body());
  return request;
}

/// One caller's connection: reads a request, lends itself to the handler,
/// reads the next one.
class Connection : public HttpExchange,
                   public std::enable_shared_from_this<Connection> {
 public:
  Connection(Socket socket,
             asio::io_context* io,
             std::shared_ptr<ListenerState> state,
             std::shared_ptr<ConnectionSet> peers,
             size_t shard)
      : io_(io),
        stream_(std::move(socket)),
        wake_(*io),
        state_(std::move(state)),
        peers_(std::move(peers)),
        shard_(shard) {
    ++state_->connections_;
  }

  ~Connection() override { --state_->connections_; }

  void Run(asio::yield_context yield) {
    peers_->insert(this);
    yield_ = &yield;
    error_code error;
    stream_.socket().set_option(tcp::no_delay(true), error);
    while (keep_alive_ && !state_->stopped_ && ServeOne()) {
    }
    stream_.socket().shutdown(tcp::socket::shutdown_both, error);
    stream_.close();
    peers_->erase(this);
    yield_ = nullptr;
  }

  /// Answers that there is no room and closes.
  void RunRefused(asio::yield_context yield) {
    yield_ = &yield;
    keep_alive_ = false;
    Refuse(RefusalReason::kTooManyConnections);
    stream_.close();
    yield_ = nullptr;
  }

  /// Closes a connection that waits for its next request.
  void CloseIfIdle() {
    if (idle_) {
      stream_.close();
    }
  }

  bool Reply(const HttpReply& reply) override {
    UpdateKeepAlive();
    return Send(detail::WholeReplyText(reply, keep_alive_, head_request_));
  }

  bool StartStream(const HttpReply& head) override {
    UpdateKeepAlive();
    return Send(detail::StreamHeadText(head, keep_alive_));
  }

  bool Write(std::string_view bytes) override {
    return bytes.empty() || Send(detail::ChunkText(bytes));
  }

  bool EndStream() override { return Send(std::string(detail::kLastChunk)); }

  void Abort() override {
    keep_alive_ = false;
    error_code error;
    stream_.socket().shutdown(tcp::socket::shutdown_both, error);
  }

  void Wait() override {
    while (!notified_) {
      error_code error;
      wake_.expires_at(asio::steady_timer::time_point::max());
      wake_.async_wait((*yield_)[error]);
    }
    notified_ = false;
  }

  void Notify() override {
    notified_ = true;
    wake_.cancel();
  }

  bool caller_gone() const override { return caller_gone_; }

 private:
  bool ServeOne() {
    Parser parser;
    parser.header_limit(state_->limits_.header_bytes_);
    parser.body_limit(state_->limits_.body_bytes_);
    if (!WaitForFirstByte() || !ReadRequest(&parser)) {
      return false;
    }
    const HttpRequest request = ToRequest(&parser);
    keep_alive_ = parser.get().keep_alive();
    head_request_ = request.method_ == "HEAD";
    ++state_->active_requests_;
    WatchCaller();
    state_->hooks_.serve_(shard_, request, this);
    StopWatching();
    --state_->active_requests_;
    return !caller_gone_;
  }

  bool WaitForFirstByte() {
    if (buffer_.size() > 0) {
      return true;
    }
    idle_ = true;
    stream_.expires_after(state_->limits_.idle_timeout_);
    error_code error;
    const size_t got = stream_.async_read_some(buffer_.prepare(kFirstReadBytes),
                                               (*yield_)[error]);
    buffer_.commit(got);
    idle_ = false;
    return !error;
  }

  bool ReadRequest(Parser* parser) {
    stream_.expires_after(state_->limits_.read_timeout_);
    error_code error;
    http::async_read_header(stream_, buffer_, *parser, (*yield_)[error]);
    if (!error && parser->get()[http::field::expect] == "100-continue") {
      Send(std::string(detail::kContinue));
      stream_.expires_after(state_->limits_.read_timeout_);
    }
    if (!error) {
      http::async_read(stream_, buffer_, *parser, (*yield_)[error]);
    }
    if (!error) {
      stream_.expires_never();
      return true;
    }
    RefuseUnreadable(error);
    return false;
  }

  void RefuseUnreadable(const error_code& error) {
    keep_alive_ = false;
    if (error == http::error::end_of_stream) {
      return;
    }
    if (error == beast::error::timeout) {
      // The stream's timeout closed the socket: nothing can be answered.
      state_->hooks_.refuse_(RefusalReason::kReadTimeout);
      return;
    }
    if (error == http::error::header_limit) {
      Refuse(RefusalReason::kHeaderTooLarge);
    } else if (error == http::error::body_limit) {
      Refuse(RefusalReason::kBodyTooLarge);
    } else if (error.category() ==
               http::make_error_code(http::error::bad_method).category()) {
      Refuse(RefusalReason::kMalformedRequest);
    }
  }

  void Refuse(RefusalReason reason) {
    HttpReply reply = state_->hooks_.refuse_(reason);
    if (Send(detail::WholeReplyText(reply, false, false))) {
      Linger();
    }
  }

  /// Lets the caller read the refusal before the close discards it.
  void Linger() {
    error_code error;
    stream_.socket().shutdown(tcp::socket::shutdown_send, error);
    stream_.expires_after(kLingerTime);
    char sink[kFirstReadBytes];
    size_t taken = 0;
    while (!error && taken < kLingerBytes) {
      taken += stream_.async_read_some(asio::buffer(sink), (*yield_)[error]);
    }
  }

  bool Send(const std::string& text) {
    if (caller_gone_) {
      return false;
    }
    stream_.expires_after(state_->limits_.write_timeout_);
    error_code error;
    asio::async_write(stream_, asio::buffer(text), (*yield_)[error]);
    if (error) {
      caller_gone_ = true;
      return false;
    }
    stream_.expires_never();
    return true;
  }

  void UpdateKeepAlive() {
    keep_alive_ = keep_alive_ && !state_->close_after_replies_;
  }

  /// Learns of a caller that goes away while its request is served. Bytes of
  /// a next request end the watch.
  void WatchCaller() {
    watching_ = true;
    auto self = shared_from_this();
    stream_.socket().async_wait(
        tcp::socket::wait_read, [self](const error_code& error) {
          if (!error && self->watching_ && self->IsClosed()) {
            self->caller_gone_ = true;
            self->Notify();
          }
        });
  }

  void StopWatching() {
    watching_ = false;
    error_code error;
    stream_.socket().cancel(error);
  }

  bool IsClosed() {
    error_code error;
    stream_.socket().non_blocking(true, error);
    char byte = 0;
    stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                             error);
    return error && error != asio::error::would_block;
  }

  static constexpr size_t kFirstReadBytes = 4096;
  static constexpr size_t kLingerBytes = 64 * 1024;
  static constexpr auto kLingerTime = std::chrono::seconds(1);

  asio::io_context* const io_;
  Stream stream_;
  asio::steady_timer wake_;
  const std::shared_ptr<ListenerState> state_;
  const std::shared_ptr<ConnectionSet> peers_;
  const size_t shard_;
  beast::flat_buffer buffer_;
  asio::yield_context* yield_ = nullptr;
  bool keep_alive_ = true;
  bool head_request_ = false;
  bool idle_ = false;
  bool watching_ = false;
  bool notified_ = false;
  bool caller_gone_ = false;
};

}  // namespace

class HttpListener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(std::vector<asio::io_context*> shards,
       const HttpLimits& limits,
       HttpListenerHooks hooks)
      : shards_(std::move(shards)),
        acceptor_(*shards_.front()),
        state_(std::make_shared<ListenerState>(limits, std::move(hooks))) {
    for (size_t i = 0; i < shards_.size(); ++i) {
      connections_.push_back(std::make_shared<ConnectionSet>());
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
        for (Connection* connection : *peers) {
          connection->CloseIfIdle();
        }
      });
    }
  }

  uint16_t port() const { return port_; }
  ListenerState* state() const { return state_.get(); }

 private:
  void Accept() {
    const size_t shard = next_shard_++ % shards_.size();
    auto self = shared_from_this();
    acceptor_.async_accept(
        *shards_[shard], [self, shard](const error_code& error, Socket socket) {
          if (!self->acceptor_.is_open()) {
            return;
          }
          if (!error) {
            self->Serve(std::move(socket), shard);
          }
          self->AcceptAgain(error);
        });
  }

  /// Out of descriptors: waits a moment instead of spinning.
  void AcceptAgain(const error_code& error) {
    if (!error) {
      Accept();
      return;
    }
    auto timer =
        std::make_shared<asio::steady_timer>(*shards_.front(), kAcceptPause);
    auto self = shared_from_this();
    timer->async_wait([self, timer](const error_code&) {
      if (self->acceptor_.is_open()) {
        self->Accept();
      }
    });
  }

  void Serve(Socket socket, size_t shard) {
    asio::io_context* const io = shards_[shard];
    const bool full = state_->connections_ >= state_->limits_.connections_;
    const size_t hard_limit = 2 * state_->limits_.connections_;
    if (full && state_->connections_ >= hard_limit) {
      state_->hooks_.refuse_(RefusalReason::kTooManyConnections);
      return;
    }
    auto connection = std::make_shared<Connection>(
        std::move(socket), io, state_, connections_[shard], shard);
    asio::spawn(
        *io,
        [connection, full](asio::yield_context yield) {
          if (full) {
            connection->RunRefused(yield);
          } else {
            connection->Run(yield);
          }
        },
        detail::CoroutineAttributes());
  }

  static constexpr auto kAcceptPause = std::chrono::milliseconds(50);

  const std::vector<asio::io_context*> shards_;
  tcp::acceptor acceptor_;
  const std::shared_ptr<ListenerState> state_;
  std::vector<std::shared_ptr<ConnectionSet>> connections_;
  size_t next_shard_ = 0;
  uint16_t port_ = 0;
};

HttpListener::HttpListener(std::vector<asio::io_context*> shards,
                           const HttpLimits& limits,
                           HttpListenerHooks hooks)
    : impl_(
          std::make_shared<Impl>(std::move(shards), limits, std::move(hooks))) {
}

HttpListener::~HttpListener() = default;

bool HttpListener::Listen(const std::string& address,
                          uint16_t port,
                          Error* error) {
  return impl_->Listen(address, port, error);
}

uint16_t HttpListener::port() const {
  return impl_->port();
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

size_t HttpListener::connections() const {
  return impl_->state()->connections_;
}

}  // namespace citronlane
