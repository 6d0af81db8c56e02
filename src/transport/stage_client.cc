#include "citronlane/transport/stage_client.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/traffic_count.h"
#include "citronlane/transport/detail/connection_pool.h"
#include "citronlane/transport/detail/coroutine.h"
#include "citronlane/transport/detail/message_buffers.h"
#include "citronlane/transport/detail/reply_reading.h"
#include "citronlane/transport/detail/stage_connection.h"
#include "citronlane/transport/detail/stage_messages.h"
#include "citronlane/transport/held_reply.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using detail::ConnectionPool;
using Connection = detail::StageConnection;
using ConnectionPtr = std::unique_ptr<Connection>;

/// Maximum number of interim replies and replies to other calls that one call
/// skips.
constexpr int kMaxSkippedReplies = 8;
constexpr int kFirstFinalStatus = 200;

/// One call, run by a coroutine: connects, sends once and reads the reply.
class Call : public StageCall, public std::enable_shared_from_this<Call> {
 public:
  Call(std::shared_ptr<ConnectionPool> pool,
       StageCallSpec spec,
       StageCallHooks hooks)
      : pool_(std::move(pool)),
        spec_(std::move(spec)),
        hooks_(std::move(hooks)),
        key_(spec_.Endpoint() + spec_.connection_group_),
        read_on_(*pool_->io()) {}

  void Cancel() override {
    ended_ = true;
    if (connection_) {
      connection_->stream_.close();
    }
    read_on_.cancel();
  }

  void ReadOn() override { read_on_.cancel(); }

  /// Destroys the hooks, which may own the owner of this call.
  void DropHooks() { hooks_ = StageCallHooks(); }

  void Run(const asio::yield_context& yield) {
    if (!ended_ && Connect(yield) && Send(yield)) {
      if (spec_.streams_) {
        ReadStream(yield);
      } else {
        ReadCompleteReply(yield);
      }
    }
    // The owner of the call may keep it for long.
    connection_.reset();
  }

 private:
  void Done(CallOutcome outcome, std::string body = {}) {
    if (!ended_) {
      ended_ = true;
      const auto done = std::move(hooks_.done_);
      done(outcome, std::move(body));
    }
  }

  bool Connect(const asio::yield_context& yield) {
    if (!spec_.fresh_connection_) {
      connection_ = pool_->TakeIdle(
          key_, spec_.max_idle_time_.value_or(pool_->limits().idle_timeout_));
      reused_connection_ = connection_ != nullptr;
    }
    if (!connection_) {
      connection_ = pool_->MakeConnection();
      if (!pool_->Connect(connection_.get(), spec_, yield)) {
        Done(CallOutcome::kConnectFailed);
      }
    }
    return !ended_;
  }

  bool Send(const asio::yield_context& yield) {
    if (SteadyNow() >= spec_.deadline_) {
      Done(CallOutcome::kTimeout);
      return false;
    }
    if (!hooks_.sending_()) {
      ended_ = true;
      return false;
    }
    const std::string head = detail::RequestHeadText(spec_);
    error_code error;
    if (spec_.replies_immediately_) {
      ExtendForRead();
    } else {
      connection_->stream_.expires_at(spec_.deadline_);
    }
    CountTraffic(asio::async_write(connection_->stream_,
                                   detail::MessageBuffers(head, spec_.body_),
                                   yield[error]));
    was_cut_off_ = static_cast<bool>(error);
    if (error == beast::error::timeout) {
      Done(CallOutcome::kTimeout);
    }
    // A server may reply to a call and close the connection before it has read
    // the whole body.
    return !ended_;
  }

  /// Reads the head of this call's reply. Skips interim replies and complete
  /// replies to other calls: a server that replies twice sends the second reply
  /// when the reply to the next call is expected.
  template <typename Body>
  bool ReadReplyHead(std::optional<http::response_parser<Body>>* parser,
                     const asio::yield_context& yield) {
    for (int skipped = 0; skipped < kMaxSkippedReplies && !ended_; ++skipped) {
      parser->emplace();
      (*parser)->header_limit(pool_->limits().reply_header_bytes_);
      (*parser)->body_limit(BodyLimit());
      (*parser)->skip(spec_.method_ == "HEAD");
      error_code error;
      detail::ReadHeader(connection_.get(), pool_->limits().reply_header_bytes_,
                         &**parser, yield, &error);
      if (error) {
        Done(detail::OutcomeOf(error));
        return false;
      }
      head_ = detail::ReadHead((*parser)->get());
      head_.reused_connection_ = reused_connection_;
      if (!detail::IsReplyStatus(head_.status_)) {
        Done(CallOutcome::kServerError);
        return false;
      }
      if (head_.status_ < kFirstFinalStatus) {
        continue;
      }
      const ReplyOwner owner = OwnerOf(head_);
      if (owner == ReplyOwner::kUnclear) {
        Done(CallOutcome::kWrongId);
        return false;
      }
      if (owner == ReplyOwner::kOtherCall) {
        if (!SkipReply(&**parser, yield)) {
          return false;
        }
        continue;
      }
      may_keep_ =
          may_keep_ && owner == ReplyOwner::kThisCall && EchoesThisCall(head_);
      connection_->idle_limit_ = detail::IdleLimit((*parser)->get());
      if (!ended_ && !hooks_.head_(head_)) {
        ended_ = true;
      }
      return !ended_;
    }
    Done(CallOutcome::kWrongId);
    return false;
  }

  uint64_t BodyLimit() const {
    const StageLimits& limits = pool_->limits();
    return spec_.streams_
               ? limits.stream_bytes_.value_or(limits.reply_body_bytes_)
               : limits.reply_body_bytes_;
  }

  /// Prepares for reading on after another call's reply: this call's may follow
  /// until the deadline. The connection isn't kept, since more replies to the
  /// other call may follow.
  void AwaitNextReply() {
    may_keep_ = false;
    connection_->stream_.expires_at(spec_.deadline_);
  }

  ReplyOwner OwnerOf(const StageReplyHead& head) const {
    if (head.is_merged_) {
      return ReplyOwner::kUnclear;
    }
    return hooks_.owner_ && !ended_ ? hooks_.owner_(head)
                                    : ReplyOwner::kThisCall;
  }

  /// Whether the reply echoes this call's id, if the server does so at all.
  /// After one that doesn't, a second reply to this call could not be
  /// distinguished from the reply to the next call on the connection.
  bool EchoesThisCall(const StageReplyHead& head) const {
    return spec_.attempt_id_.empty() || head.echoed_id_ == spec_.attempt_id_;
  }

  /// Reads and discards the body of a reply to another call.
  template <typename Parser>
  bool SkipReply(Parser* parser, const asio::yield_context& yield) {
    AwaitNextReply();
    error_code error;
    uint64_t skipped_bytes = 0;
    while (!parser->is_done() && !error && !ended_) {
      skipped_bytes +=
          detail::SkipSome(connection_.get(), parser, yield, &error);
      if (skipped_bytes > pool_->limits().reply_body_bytes_) {
        error = http::error::body_limit;
      }
    }
    if (error) {
      Done(CallOutcome::kWrongId);
    }
    return !error && !ended_;
  }

  void ReadCompleteReply(const asio::yield_context& yield) {
    for (int skipped = 0; skipped < kMaxSkippedReplies && !ended_; ++skipped) {
      std::optional<http::response_parser<http::string_body>> parser;
      if (!ReadReplyHead(&parser, yield)) {
        return;
      }
      connection_->stream_.expires_at(spec_.deadline_);
      error_code error;
      HeldReply held(pool_->reply_memory());
      while (!parser->is_done() && !error && !ended_) {
        detail::ReadSome(connection_.get(), &*parser, yield, &error);
        if (!held.Resize(parser->get().body().size())) {
          error = http::error::body_limit;
        }
      }
      if (error) {
        Done(detail::OutcomeOf(error));
        return;
      }
      auto& reply = parser->get();
      if (!IsWhole(*parser, yield)) {
        return;
      }
      if (BelongsToThisCall(reply.body())) {
        Keep(reply.keep_alive());
        Done(CallOutcome::kSuccess, std::move(reply.body()));
        return;
      }
    }
    Done(CallOutcome::kWrongId);
  }

  /// Decides by the body whether the reply belongs to this call.
  bool BelongsToThisCall(std::string_view body) {
    if (ended_ || !hooks_.owner_by_body_) {
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
    std::vector<char> buffer(detail::kReadBufferBytes);
    bool begun = spec_.replies_immediately_;
    while (!parser->is_done() && AwaitRoom(yield)) {
      if (begun) {
        ExtendForRead();
      }
      error_code error;
      const size_t got =
          detail::ReadSome(connection_.get(), &*parser, &buffer, yield, &error);
      if (error) {
        Done(detail::OutcomeOf(error));
        return;
      }
      if (got > 0 && !ended_) {
        begun = true;
        hooks_.data_(std::string_view(buffer.data(), got));
      }
    }
    if (!ended_ && IsWhole(*parser, yield)) {
      Keep(parser->get().keep_alive());
      Done(CallOutcome::kSuccess);
    }
  }

  /// Whether a reply that has been read to its end is whole. Ends the call if
  /// it is not.
  template <typename Parser>
  bool IsWhole(const Parser& parser, const asio::yield_context& yield) {
    may_keep_ = may_keep_ && !was_cut_off_;
    if (parser.need_eof() && !ended_ &&
        (was_cut_off_ ||
         !detail::HasEndedInOrder(connection_.get(), !spec_.body_.empty(),
                                  spec_.deadline_, yield))) {
      Done(CallOutcome::kClosedAfterSend);
    }
    return !ended_;
  }

  /// Waits until data_ takes more. Returns false if the call has ended.
  bool AwaitRoom(const asio::yield_context& yield) {
    while (!ended_ && hooks_.has_room_ && !hooks_.has_room_()) {
      if (SteadyNow() >= spec_.deadline_) {
        Done(CallOutcome::kTimeout);
        break;
      }
      error_code ignored;
      read_on_.expires_at(spec_.deadline_);
      read_on_.async_wait(yield[ignored]);
    }
    return !ended_;
  }

  /// Limits the next read of a stream by the silence limit as well as by the
  /// deadline.
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
        !ended_) {
      pool_->PutIdle(key_, std::move(connection_));
    }
  }

  const std::shared_ptr<ConnectionPool> pool_;
  const StageCallSpec spec_;
  StageCallHooks hooks_;
  const std::string key_;
  ConnectionPtr connection_;
  /// Runs while nothing is read because data_ takes no more; cancelled to read
  /// on.
  asio::steady_timer read_on_;
  /// Head of the current reply.
  StageReplyHead head_;
  bool reused_connection_ = false;
  bool may_keep_ = true;
  /// The connection failed before the whole call was sent.
  bool was_cut_off_ = false;
  bool ended_ = false;
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
  // Destroys the hooks when the coroutine ends, also if it ends because its
  // io_context is destroyed.
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

ReplyMemory* StageClient::reply_memory() {
  return impl_->pool_->reply_memory();
}

}  // namespace citronlane
