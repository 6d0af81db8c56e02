#include "citronlane/transport/detail/http_connection.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "citronlane/base/text.h"
#include "citronlane/net/traffic_count.h"
#include "citronlane/transport/detail/http_text.h"
#include "citronlane/transport/http_request.h"

namespace citronlane::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kDiscardBytes = 4096;
constexpr unsigned kHttp11 = 11;
/// How much a refused caller may still send while it receives the refusal.
constexpr size_t kLingerBytes = size_t{4} * 1024 * 1024;
constexpr auto kLingerTime = std::chrono::seconds(1);

template <typename Message>
HttpRequest ToRequest(Message* message) {
  HttpRequest request;
  const auto method = message->method_string();
  const auto target = message->target();
  request.method_.assign(method.data(), method.size());
  request.target_.assign(target.data(), target.size());
  for (const auto& field : *message) {
    const auto name = field.name_string();
    const auto value = field.value();
    request.headers_.push_back(
        {{name.data(), name.size()}, {value.data(), value.size()}});
  }
  request.body_ = std::move(message->body());
  return request;
}

/// Whether another HTTP parser could find a different end of the request. The
/// only accepted transfer coding is a single "chunked".
template <typename Message>
bool HasUnclearFraming(const Message& message) {
  const auto [begin, end] = message.equal_range(http::field::transfer_encoding);
  if (begin == end) {
    return false;
  }
  const auto value = begin->value();
  return std::next(begin) != end || message.version() < kHttp11 ||
         !EqualsIgnoringCase({value.data(), value.size()}, "chunked");
}

bool IsParseError(const error_code& error) {
  return error.category() ==
         http::make_error_code(http::error::bad_method).category();
}

}  // namespace

HttpConnection::HttpConnection(Socket socket,
                               asio::io_context* io,
                               std::shared_ptr<HttpListenerState> state,
                               std::shared_ptr<HttpConnectionSet> peers,
                               size_t shard)
    : stream_(std::move(socket)),
      wake_(*io),
      idle_timer_(*io),
      state_(std::move(state)),
      peers_(std::move(peers)),
      shard_(shard) {
  ++state_->connections_;
}

HttpConnection::~HttpConnection() {
  --state_->connections_;
}

void HttpConnection::Run(const asio::yield_context& yield) {
  peers_->insert(this);
  yield_ = &yield;
  error_code error;
  stream_.socket().set_option(tcp::no_delay(true), error);
  // Applies to calls that don't wait; the asynchronous ones are unaffected.
  stream_.socket().non_blocking(true, error);
  while (keep_alive_ && (!state_->stopped_ || HasReceived()) && ServeOne()) {
  }
  stream_.socket().shutdown(tcp::socket::shutdown_both, error);
  stream_.close();
  peers_->erase(this);
  yield_ = nullptr;
}

void HttpConnection::RunRefused(const asio::yield_context& yield) {
  yield_ = &yield;
  keep_alive_ = false;
  Refuse(RefusalReason::kTooManyConnections);
  stream_.close();
  yield_ = nullptr;
}

// Callers pair responses with requests by their order. After a second response
// to one request, they would match each later response with the wrong request.
bool HttpConnection::BeginResponse(ResponseState state) {
  if (response_state_ != ResponseState::kNone) {
    ReportMisuse("answered twice");
    return false;
  }
  response_state_ = state;
  return true;
}

void HttpConnection::ReportMisuse(std::string_view what) {
  if (state_->hooks_.misused_ && request_ != nullptr) {
    state_->hooks_.misused_(*request_, what);
  }
}

void HttpConnection::ReportUnanswered() {
  const bool is_whole =
      response_state_ == ResponseState::kComplete && !caller_gone_;
  if (is_whole || !state_->hooks_.unanswered_) {
    return;
  }
  const bool has_begun = response_state_ == ResponseState::kStreaming;
  state_->hooks_.unanswered_(*request_, caller_gone_ ? "caller_gone"
                                        : has_begun  ? "broken_off"
                                                     : "no_response");
}

bool HttpConnection::Reply(const HttpReply& reply) {
  if (!BeginResponse(ResponseState::kComplete)) {
    return false;
  }
  UpdateKeepAlive();
  return Send(CompleteReplyText(reply, keep_alive_, head_request_));
}

bool HttpConnection::StartStream(const HttpReply& head) {
  if (!BeginResponse(ResponseState::kStreaming)) {
    return false;
  }
  UpdateKeepAlive();
  stream_has_body_ = MayHaveBody(head.status_, head_request_);
  return Send(stream_has_body_ ? StreamHeadText(head, keep_alive_)
                               : CompleteReplyText(head, keep_alive_, true));
}

bool HttpConnection::Write(std::string_view bytes) {
  if (response_state_ != ResponseState::kStreaming) {
    return false;
  }
  return bytes.empty() || !stream_has_body_ || Send(ChunkText(bytes));
}

bool HttpConnection::EndStream() {
  if (response_state_ != ResponseState::kStreaming) {
    return false;
  }
  response_state_ = ResponseState::kComplete;
  return !stream_has_body_ || Send(kLastChunk);
}

void HttpConnection::Abort() {
  keep_alive_ = false;
  error_code error;
  stream_.socket().shutdown(tcp::socket::shutdown_both, error);
}

void HttpConnection::Wait() {
  while (!notified_) {
    error_code error;
    wake_.expires_at(asio::steady_timer::time_point::max());
    wake_.async_wait((*yield_)[error]);
  }
  notified_ = false;
}

void HttpConnection::Notify() {
  notified_ = true;
  wake_.cancel();
}

bool HttpConnection::ServeOne() {
  if (!WaitForFirstByte()) {
    return false;
  }
  ++state_->open_requests_;
  const bool may_continue = ReadAndServe();
  --state_->open_requests_;
  return may_continue;
}

bool HttpConnection::ReadAndServe() {
  // The limits may have changed during the wait.
  Parser parser;
  parser.header_limit(state_->limits_.header_bytes_);
  parser.body_limit(state_->limits_.body_bytes_);
  if (!ReadRequest(&parser)) {
    ReleaseBody();
    return false;
  }
  keep_alive_ = parser.get().keep_alive();
  const HttpRequest request = ToRequest(&parser.get());
  head_request_ = request.method_ == "HEAD";
  ++state_->active_requests_;
  WatchCaller();
  request_ = &request;
  response_state_ = ResponseState::kNone;
  state_->hooks_.serve_(shard_, request, this);
  StopWatching();
  ReportUnanswered();
  // A response after an incomplete one would be read as the remainder of that
  // one.
  keep_alive_ = keep_alive_ && response_state_ == ResponseState::kComplete;
  request_ = nullptr;
  ReleaseBody();
  --state_->active_requests_;
  return !caller_gone_;
}

bool HttpConnection::ReadRequest(Parser* parser) {
  stream_.expires_after(state_->limits_.read_timeout_);
  error_code error;
  CountTraffic(
      http::async_read_header(stream_, buffer_, *parser, (*yield_)[error]));
  if (!error && HasUnclearFraming(parser->get())) {
    keep_alive_ = false;
    Refuse(RefusalReason::kMalformedRequest);
    return false;
  }
  if (!error && !ReserveBody(*parser)) {
    keep_alive_ = false;
    Refuse(RefusalReason::kBodyMemoryExhausted);
    return false;
  }
  if (!error && parser->get()[http::field::expect] == "100-continue") {
    Send(kContinue);
    stream_.expires_after(state_->limits_.read_timeout_);
  }
  if (!error) {
    CountTraffic(http::async_read(stream_, buffer_, *parser, (*yield_)[error]));
  }
  if (!error) {
    stream_.expires_never();
    return true;
  }
  RefuseUnreadable(error);
  return false;
}

bool HttpConnection::ReserveBody(const Parser& parser) {
  const auto length = parser.content_length();
  if (!parser.chunked() && !length) {
    return true;
  }
  reserved_bytes_ =
      length ? std::min<uint64_t>(*length, state_->limits_.body_bytes_)
             : state_->limits_.body_bytes_;
  const uint64_t total = state_->body_bytes_ += reserved_bytes_;
  // One body of maximum size is always accepted, even if total_body_bytes_ is
  // lower.
  if (total <= std::max(state_->limits_.total_body_bytes_,
                        state_->limits_.body_bytes_)) {
    return true;
  }
  ReleaseBody();
  return false;
}

void HttpConnection::ReleaseBody() {
  state_->body_bytes_ -= std::exchange(reserved_bytes_, 0);
}

void HttpConnection::RefuseUnreadable(const error_code& error) {
  keep_alive_ = false;
  if (error == http::error::end_of_stream) {
    return;
  }
  if (error == beast::error::timeout) {
    // The stream's timeout has closed the socket, so that no response can be
    // sent. The refusal is only recorded.
    state_->hooks_.refuse_(RefusalReason::kReadTimeout);
  } else if (error == http::error::header_limit) {
    Refuse(RefusalReason::kHeaderTooLarge);
  } else if (error == http::error::body_limit) {
    Refuse(RefusalReason::kBodyTooLarge);
  } else if (IsParseError(error)) {
    Refuse(RefusalReason::kMalformedRequest);
  }
}

void HttpConnection::Refuse(RefusalReason reason) {
  const HttpReply reply = state_->hooks_.refuse_(reason);
  if (Send(CompleteReplyText(reply, false, false))) {
    Linger();
  }
}

void HttpConnection::Linger() {
  // Closing the socket while the caller still sends would reset the connection
  // before the caller has read the refusal.
  error_code error;
  stream_.socket().shutdown(tcp::socket::shutdown_send, error);
  stream_.expires_after(kLingerTime);
  char sink[kDiscardBytes];
  size_t taken = 0;
  while (!error && taken < kLingerBytes) {
    taken += stream_.async_read_some(asio::buffer(sink), (*yield_)[error]);
  }
}

bool HttpConnection::Send(std::string_view text) {
  if (caller_gone_) {
    return false;
  }
  stream_.expires_after(state_->limits_.write_timeout_);
  error_code error;
  CountTraffic(asio::async_write(
      stream_, asio::buffer(text.data(), text.size()), (*yield_)[error]));
  if (error) {
    caller_gone_ = true;
    return false;
  }
  stream_.expires_never();
  return true;
}

void HttpConnection::UpdateKeepAlive() {
  keep_alive_ = keep_alive_ && !state_->close_after_replies_;
}

}  // namespace citronlane::detail
