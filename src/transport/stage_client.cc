#include "citronlane/transport/stage_client.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "absl/strings/numbers.h"
#include "citronlane/transport/detail/coroutine.h"
#include "citronlane/transport/detail/steady_now.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;
using Stream = beast::basic_stream<tcp, asio::io_context::executor_type>;

constexpr size_t kStreamPieceBytes = size_t{16} * 1024;

struct Connection {
  explicit Connection(asio::io_context* io) : stream_(*io) {}

  Stream stream_;
  beast::flat_buffer buffer_;
  TimePoint idle_since_{};
};

using ConnectionPtr = std::unique_ptr<Connection>;

/// Whether the server closed an idle connection, or sent what nobody asked
/// for.
bool IsStale(Connection* connection) {
  auto& socket = connection->stream_.socket();
  error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

std::string RequestText(const StageCallSpec& spec) {
  std::string text;
  text.reserve(512 + spec.body_.size());
  text.append(spec.method_).append(" ").append(spec.target_);
  text.append(" HTTP/1.1\r\nHost: ").append(spec.address_).append(":");
  text.append(std::to_string(spec.port_)).append("\r\n");
  for (const HttpHeader& header : spec.headers_) {
    text.append(header.name_).append(": ").append(header.value_);
    text.append("\r\n");
  }
  if (spec.fresh_connection_) {
    text.append("Connection: close\r\n");
  }
  text.append("Content-Length: ").append(std::to_string(spec.body_.size()));
  text.append("\r\n\r\n").append(spec.body_);
  return text;
}

template <typename Message>
StageReplyHead ReadHead(const Message& message) {
  StageReplyHead head;
  head.status_ = static_cast<int>(message.result_int());
  head.draining_ = message["X-Draining"] == "1";
  const auto id = message["X-Attempt-Id"];
  head.echoed_id_.assign(id.data(), id.size());
  const auto load_text = message["X-Load"];
  double load = 0;
  if (absl::SimpleAtod({load_text.data(), load_text.size()}, &load) &&
      load >= 0) {
    head.load_ = load;
  }
  const auto age_text = message["X-Load-Age-Ms"];
  int64_t age_ms = 0;
  if (absl::SimpleAtoi({age_text.data(), age_text.size()}, &age_ms) &&
      age_ms > 0) {
    head.load_age_ = std::chrono::milliseconds(age_ms);
  }
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    head.headers_.push_back(
        {{name.data(), name.size()}, {value.data(), value.size()}});
  }
  return head;
}

/// How an error after the call was sent counts.
CallOutcome OutcomeOf(const error_code& error) {
  if (error == beast::error::timeout) {
    return CallOutcome::kTimeout;
  }
  const bool closed = error == http::error::end_of_stream ||
                      error == http::error::partial_message ||
                      error.category() == asio::error::get_system_category() ||
                      error.category() == asio::error::get_misc_category();
  return closed ? CallOutcome::kClosedAfterSend : CallOutcome::kServerError;
}

/// Kept-alive connections of one client, by server.
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context* io, const StageLimits& limits)
      : io_(io), limits_(limits) {}

  ConnectionPtr TakeIdle(const std::string& key) {
    std::vector<ConnectionPtr>& idle = idle_[key];
    while (!idle.empty()) {
      ConnectionPtr connection = std::move(idle.back());
      idle.pop_back();
      if (detail::SteadyNow() - connection->idle_since_ <
              limits_.idle_timeout_ &&
          !IsStale(connection.get())) {
        return connection;
      }
    }
    return nullptr;
  }

  void GiveBack(const std::string& key, ConnectionPtr connection) {
    CloseAged();
    std::vector<ConnectionPtr>& idle = idle_[key];
    if (idle.size() < limits_.idle_connections_) {
      connection->idle_since_ = detail::SteadyNow();
      connection->stream_.expires_never();
      idle.push_back(std::move(connection));
    }
  }

  asio::io_context* io() const { return io_; }
  const StageLimits& limits() const { return limits_; }

  size_t idle_connections() const {
    size_t count = 0;
    for (const auto& [key, idle] : idle_) {
      count += idle.size();
    }
    return count;
  }

 private:
  /// Servers come and go: connections that nobody asks for any more are
  /// closed too, now and then.
  void CloseAged() {
    const TimePoint now = detail::SteadyNow();
    if (now < next_close_) {
      return;
    }
    next_close_ = now + limits_.idle_timeout_;
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

  asio::io_context* const io_;
  const StageLimits limits_;
  TimePoint next_close_{};
  std::map<std::string, std::vector<ConnectionPtr>> idle_;
};

/// One call: a coroutine that connects, sends once, and reads the reply.
class Call : public StageCall, public std::enable_shared_from_this<Call> {
 public:
  Call(std::shared_ptr<ConnectionPool> pool,
       StageCallSpec spec,
       StageCallHooks hooks)
      : pool_(std::move(pool)),
        spec_(std::move(spec)),
        hooks_(std::move(hooks)),
        key_(spec_.address_ + ":" + std::to_string(spec_.port_)) {}

  void Cancel() override {
    over_ = true;
    if (connection_) {
      connection_->stream_.close();
    }
  }

  /// Hooks may hold their owner, which holds this call.
  void DropHooks() { hooks_ = StageCallHooks(); }

  void Run(const asio::yield_context& yield) {
    if (!over_ && Connect(yield) && Send(yield)) {
      if (spec_.streams_) {
        ReadStream(yield);
      } else {
        ReadWhole(yield);
      }
    }
  }

 private:
  void Done(CallOutcome outcome, std::string body = {}) {
    if (!over_) {
      over_ = true;
      const auto done = std::move(hooks_.done_);
      done(outcome, std::move(body));
    }
  }

  bool Connect(const asio::yield_context& yield) {
    if (!spec_.fresh_connection_) {
      connection_ = pool_->TakeIdle(key_);
      if (connection_) {
        return true;
      }
    }
    connection_ = std::make_unique<Connection>(pool_->io());
    error_code error;
    const auto address = asio::ip::make_address(spec_.address_, error);
    if (!error) {
      Stream& stream = connection_->stream_;
      stream.expires_at(std::min<TimePoint>(
          spec_.deadline_,
          detail::SteadyNow() + pool_->limits().connect_timeout_));
      stream.async_connect(tcp::endpoint(address, spec_.port_), yield[error]);
    }
    if (error) {
      Done(CallOutcome::kConnectFailed);
      return false;
    }
    connection_->stream_.socket().set_option(tcp::no_delay(true), error);
    return !over_;
  }

  bool Send(const asio::yield_context& yield) {
    if (detail::SteadyNow() >= spec_.deadline_) {
      Done(CallOutcome::kTimeout);
      return false;
    }
    if (!hooks_.sending_()) {
      over_ = true;
      return false;
    }
    const std::string text = RequestText(spec_);
    error_code error;
    if (spec_.answers_at_once_) {
      ExtendForRead();
    } else {
      connection_->stream_.expires_at(spec_.deadline_);
    }
    asio::async_write(connection_->stream_, asio::buffer(text), yield[error]);
    if (error) {
      Done(OutcomeOf(error));
    }
    return !over_;
  }

  template <typename Parser>
  bool ReadReplyHead(Parser* parser, const asio::yield_context& yield) {
    parser->header_limit(pool_->limits().reply_header_bytes_);
    parser->body_limit(pool_->limits().reply_body_bytes_);
    error_code error;
    http::async_read_header(connection_->stream_, connection_->buffer_, *parser,
                            yield[error]);
    if (error) {
      Done(OutcomeOf(error));
      return false;
    }
    if (!over_ && !hooks_.head_(ReadHead(parser->get()))) {
      over_ = true;
    }
    return !over_;
  }

  void ReadWhole(const asio::yield_context& yield) {
    http::response_parser<http::string_body> parser;
    parser.skip(spec_.method_ == "HEAD");
    if (!ReadReplyHead(&parser, yield)) {
      return;
    }
    error_code error;
    while (!parser.is_done() && !error && !over_) {
      ExtendForRead();
      http::async_read_some(connection_->stream_, connection_->buffer_, parser,
                            yield[error]);
    }
    if (error) {
      Done(OutcomeOf(error));
      return;
    }
    Keep(parser.get().keep_alive());
    Done(CallOutcome::kSuccess, std::move(parser.get().body()));
  }

  void ReadStream(const asio::yield_context& yield) {
    http::response_parser<http::buffer_body> parser;
    if (!ReadReplyHead(&parser, yield)) {
      return;
    }
    std::vector<char> piece(kStreamPieceBytes);
    bool begun = spec_.answers_at_once_;
    while (!parser.is_done() && !over_) {
      auto& body = parser.get().body();
      body.data = piece.data();
      body.size = piece.size();
      body.more = true;
      if (begun) {
        ExtendForRead();
      }
      error_code error;
      http::async_read_some(connection_->stream_, connection_->buffer_, parser,
                            yield[error]);
      if (error && error != http::error::need_buffer) {
        Done(OutcomeOf(error));
        return;
      }
      const size_t got = piece.size() - body.size;
      if (got > 0 && !over_) {
        begun = true;
        hooks_.data_(std::string_view(piece.data(), got));
      }
    }
    if (!over_) {
      Keep(parser.get().keep_alive());
      Done(CallOutcome::kSuccess);
    }
  }

  /// Within a reply, silence is bounded besides the deadline.
  void ExtendForRead() {
    const Duration limit = pool_->limits().read_timeout_;
    const Duration silence =
        std::min(limit, spec_.silence_limit_.value_or(limit));
    connection_->stream_.expires_at(
        std::min<TimePoint>(spec_.deadline_, detail::SteadyNow() + silence));
  }

  void Keep(bool keep_alive) {
    const bool drained = connection_->buffer_.size() == 0;
    if (keep_alive && drained && !spec_.fresh_connection_ && !over_) {
      pool_->GiveBack(key_, std::move(connection_));
    }
  }

  const std::shared_ptr<ConnectionPool> pool_;
  const StageCallSpec spec_;
  StageCallHooks hooks_;
  const std::string key_;
  ConnectionPtr connection_;
  bool over_ = false;
};

}  // namespace

class StageClient::Impl {
 public:
  Impl(asio::io_context* io, const StageLimits& limits)
      : pool_(std::make_shared<ConnectionPool>(io, limits)) {}

  const std::shared_ptr<ConnectionPool> pool_;
};

StageClient::StageClient(asio::io_context* io, const StageLimits& limits)
    : impl_(std::make_unique<Impl>(io, limits)) {}

StageClient::~StageClient() = default;

std::shared_ptr<StageCall> StageClient::Start(StageCallSpec spec,
                                              StageCallHooks hooks) {
  auto call =
      std::make_shared<Call>(impl_->pool_, std::move(spec), std::move(hooks));
  // Dropped when the coroutine ends, also with its io_context.
  const std::shared_ptr<Call> running(
      call.get(), [call](Call* ended) { ended->DropHooks(); });
  asio::spawn(
      *impl_->pool_->io(),
      [running](const asio::yield_context& yield) { running->Run(yield); },
      detail::CoroutineAttributes());
  return call;
}

size_t StageClient::idle_connections() const {
  return impl_->pool_->idle_connections();
}

}  // namespace citronlane
