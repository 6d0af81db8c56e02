#include "citronlane/transport/stage_client.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/endpoint.h"
#include "citronlane/transport/detail/connection_pool.h"
#include "citronlane/transport/detail/coroutine.h"
#include "citronlane/transport/detail/stage_connection.h"
#include "citronlane/transport/detail/stage_messages.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;
using detail::ConnectionPool;
using Connection = detail::StageConnection;
using ConnectionPtr = std::unique_ptr<Connection>;
using Stream = detail::StageConnection::Stream;

constexpr size_t kStreamPieceBytes = size_t{16} * 1024;
/// A server that acknowledges nothing this long is cut off: several times the
/// kernel's first retransmissions on links of a few milliseconds.
constexpr int kUnackedMs = 2000;
/// Interim replies, and replies to other calls, that are read past for one.
constexpr int kMostPassedReplies = 8;
constexpr int kFirstFinalStatus = 200;

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

/// One call: a coroutine that connects, sends once, and reads the reply.
class Call : public StageCall, public std::enable_shared_from_this<Call> {
 public:
  Call(std::shared_ptr<ConnectionPool> pool,
       StageCallSpec spec,
       StageCallHooks hooks)
      : pool_(std::move(pool)),
        spec_(std::move(spec)),
        hooks_(std::move(hooks)),
        key_(spec_.address_ + ":" + std::to_string(spec_.port_) +
             spec_.connection_group_) {}

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
      connection_ = pool_->TakeIdle(
          key_, spec_.longest_idle_.value_or(pool_->limits().idle_timeout_));
      if (connection_) {
        kept_connection_ = true;
        return true;
      }
    }
    connection_ = std::make_unique<Connection>(pool_->io());
    error_code error;
    const auto address = asio::ip::make_address(spec_.address_, error);
    if (!error) {
      Stream& stream = connection_->stream_;
      stream.expires_at(std::min<TimePoint>(
          spec_.deadline_, SteadyNow() + pool_->limits().connect_timeout_));
      stream.async_connect(tcp::endpoint(address, spec_.port_), yield[error]);
    }
    if (error) {
      Done(CallOutcome::kConnectFailed);
      return false;
    }
    SetSocketOptions(connection_->stream_.socket().native_handle(), kUnackedMs);
    return !over_;
  }

  bool Send(const asio::yield_context& yield) {
    if (SteadyNow() >= spec_.deadline_) {
      Done(CallOutcome::kTimeout);
      return false;
    }
    if (!hooks_.sending_()) {
      over_ = true;
      return false;
    }
    const std::string text = detail::RequestText(spec_);
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

  /// Reads past interim replies and whole replies to other calls, which a
  /// server that answers twice sends late, where this call's reply is expected.
  template <typename Body>
  bool ReadReplyHead(std::optional<http::response_parser<Body>>* parser,
                     const asio::yield_context& yield) {
    for (int passed = 0; passed < kMostPassedReplies && !over_; ++passed) {
      parser->emplace();
      (*parser)->header_limit(pool_->limits().reply_header_bytes_);
      (*parser)->body_limit(pool_->limits().reply_body_bytes_);
      (*parser)->skip(spec_.method_ == "HEAD");
      error_code error;
      http::async_read_header(connection_->stream_, connection_->buffer_,
                              **parser, yield[error]);
      if (error) {
        Done(OutcomeOf(error));
        return false;
      }
      head_ = detail::ReadHead((*parser)->get());
      head_.kept_connection_ = kept_connection_;
      if (head_.status_ < kFirstFinalStatus) {
        continue;
      }
      const ReplyOwner owner = OwnerOf(head_);
      if (owner == ReplyOwner::kUnclear) {
        Done(CallOutcome::kWrongId);
        return false;
      }
      if (owner == ReplyOwner::kOtherCall) {
        if (!PassReply(&**parser, yield)) {
          return false;
        }
        continue;
      }
      may_keep_ =
          may_keep_ && owner == ReplyOwner::kThisCall && NamesThisCall(head_);
      connection_->idle_limit_ = detail::IdleLimit((*parser)->get());
      if (!over_ && !hooks_.head_(head_)) {
        over_ = true;
      }
      return !over_;
    }
    Done(CallOutcome::kWrongId);
    return false;
  }

  /// Another call's reply came first: this one's may follow until the deadline,
  /// and more of the other's behind it.
  void AwaitNextReply() {
    may_keep_ = false;
    connection_->stream_.expires_at(spec_.deadline_);
  }

  ReplyOwner OwnerOf(const StageReplyHead& head) const {
    if (head.is_two_in_one_) {
      return ReplyOwner::kUnclear;
    }
    return hooks_.owner_ && !over_ ? hooks_.owner_(head)
                                   : ReplyOwner::kThisCall;
  }

  /// A reply that names no call may have a second one behind it, which the next
  /// call on the connection could not tell from its own.
  bool NamesThisCall(const StageReplyHead& head) const {
    return spec_.attempt_id_.empty() || head.echoed_id_ == spec_.attempt_id_;
  }

  /// Drops the body of a reply that is not this call's.
  template <typename Parser>
  bool PassReply(Parser* parser, const asio::yield_context& yield) {
    AwaitNextReply();
    std::vector<char> sink(kStreamPieceBytes);
    error_code error;
    while (!parser->is_done() && !error && !over_) {
      ReadPiece(parser, &sink, yield, &error);
    }
    if (error) {
      Done(CallOutcome::kWrongId);
    }
    return !error && !over_;
  }

  /// Returns how many bytes of `piece` were filled.
  static size_t Prepare(http::response_parser<http::buffer_body>* parser,
                        std::vector<char>* piece) {
    auto& body = parser->get().body();
    body.data = piece->data();
    body.size = piece->size();
    body.more = true;
    return piece->size();
  }

  size_t ReadPiece(http::response_parser<http::buffer_body>* parser,
                   std::vector<char>* piece,
                   const asio::yield_context& yield,
                   error_code* error) {
    const size_t room = Prepare(parser, piece);
    http::async_read_some(connection_->stream_, connection_->buffer_, *parser,
                          yield[*error]);
    if (*error == http::error::need_buffer) {
      *error = {};
    }
    return room - parser->get().body().size;
  }

  void ReadPiece(http::response_parser<http::string_body>* parser,
                 std::vector<char>* /*piece*/,
                 const asio::yield_context& yield,
                 error_code* error) {
    http::async_read_some(connection_->stream_, connection_->buffer_, *parser,
                          yield[*error]);
  }

  void ReadWhole(const asio::yield_context& yield) {
    for (int passed = 0; passed < kMostPassedReplies && !over_; ++passed) {
      std::optional<http::response_parser<http::string_body>> parser;
      if (!ReadReplyHead(&parser, yield)) {
        return;
      }
      error_code error;
      while (!parser->is_done() && !error && !over_) {
        ExtendForRead();
        ReadPiece(&*parser, nullptr, yield, &error);
      }
      if (error) {
        Done(OutcomeOf(error));
        return;
      }
      auto& reply = parser->get();
      if (IsThisCalls(reply.body())) {
        Keep(reply.keep_alive());
        Done(CallOutcome::kSuccess, std::move(reply.body()));
        return;
      }
    }
    Done(CallOutcome::kWrongId);
  }

  /// By its body, where heads name no call.
  bool IsThisCalls(std::string_view body) {
    if (over_ || !hooks_.owner_by_body_) {
      return true;
    }
    const ReplyOwner owner = hooks_.owner_by_body_(head_, body);
    if (owner == ReplyOwner::kOtherCall) {
      AwaitNextReply();
      return false;
    }
    may_keep_ = may_keep_ && owner == ReplyOwner::kThisCall;
    return true;
  }

  void ReadStream(const asio::yield_context& yield) {
    std::optional<http::response_parser<http::buffer_body>> parser;
    if (!ReadReplyHead(&parser, yield)) {
      return;
    }
    std::vector<char> piece(kStreamPieceBytes);
    bool begun = spec_.answers_at_once_;
    while (!parser->is_done() && !over_) {
      if (begun) {
        ExtendForRead();
      }
      error_code error;
      const size_t got = ReadPiece(&*parser, &piece, yield, &error);
      if (error) {
        Done(OutcomeOf(error));
        return;
      }
      if (got > 0 && !over_) {
        begun = true;
        hooks_.data_(std::string_view(piece.data(), got));
      }
    }
    if (!over_) {
      Keep(parser->get().keep_alive());
      Done(CallOutcome::kSuccess);
    }
  }

  /// Within a reply, silence is bounded besides the deadline.
  void ExtendForRead() {
    const Duration limit = pool_->limits().read_timeout_;
    const Duration silence =
        std::min(limit, spec_.silence_limit_.value_or(limit));
    connection_->stream_.expires_at(
        std::min<TimePoint>(spec_.deadline_, SteadyNow() + silence));
  }

  void Keep(bool keep_alive) {
    const bool drained = connection_->buffer_.size() == 0;
    if (keep_alive && drained && may_keep_ && !spec_.fresh_connection_ &&
        !over_) {
      pool_->GiveBack(key_, std::move(connection_));
    }
  }

  const std::shared_ptr<ConnectionPool> pool_;
  const StageCallSpec spec_;
  StageCallHooks hooks_;
  const std::string key_;
  ConnectionPtr connection_;
  /// Of the reply that is read.
  StageReplyHead head_;
  bool kept_connection_ = false;
  bool may_keep_ = true;
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
