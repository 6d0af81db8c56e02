#include "citronlane/transport/detail/http_connection.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "citronlane/base/steady_now.h"
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
/// Memory of a connection without a request: the used part of its stack, its
/// buffer and the socket.
constexpr uint64_t kConnectionBytes = uint64_t{24} << 10;
/// Memory of the TLS state of a connection.
constexpr uint64_t kTlsBytes = uint64_t{64} << 10;
/// Memory of a request that is served, besides what depends on its size.
constexpr uint64_t kRequestBytes = uint64_t{32} << 10;
/// Memory of a parsed head divided by its bytes, if it consists of the shortest
/// header fields or prompt segments.
constexpr uint64_t kParsedHeadRatio = 64;
/// Turns of the event loop until a closed connection has ended.
constexpr int kTurnsToClose = 8;
/// Memory that is always available besides one body of the maximum size.
constexpr uint64_t kMinMemory = uint64_t{2} << 20;

/// Returns the request without its body. Fields of a trailer are not read yet.
template <typename Message>
HttpRequest HeadOf(const Message& message) {
  HttpRequest request;
  const auto method = message.method_string();
  const auto target = message.target();
  request.method_.assign(method.data(), method.size());
  request.target_.assign(target.data(), target.size());
  request.headers_.reserve(
      static_cast<size_t>(std::distance(message.begin(), message.end())));
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    request.headers_.push_back(
        {{name.data(), name.size()}, {value.data(), value.size()}});
  }
  return request;
}

size_t HeadBytes(const HttpRequest& request) {
  constexpr size_t kSeparatorBytes = 4;
  size_t bytes = request.method_.size() + request.target_.size();
  for (const HttpHeader& header : request.headers_) {
    bytes += header.name_.size() + header.value_.size() + kSeparatorBytes;
  }
  return bytes;
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
    : stream_(std::move(socket), state->tls_.get()),
      wake_(*io),
      idle_timer_(*io),
      state_(std::move(state)),
      peers_(std::move(peers)),
      shard_(shard),
      charge_(&state_->memory_) {
  ++state_->connections_;
}

HttpConnection::~HttpConnection() {
  --state_->connections_;
}

void HttpConnection::Run(const asio::yield_context& yield) {
  peers_->Insert(this);
  yield_ = &yield;
  error_code error;
  stream_.socket().set_option(tcp::no_delay(true), error);
  // Applies to calls that don't wait; the asynchronous ones are unaffected.
  stream_.socket().non_blocking(true, error);
  EnterPhase(Phase::kNew);
  if (TakePlace()) {
    keep_alive_ = !stream_.has_tls() || Handshake();
    while (keep_alive_ && (!state_->stopped_ || HasReceived()) && ServeOne()) {
    }
  } else if (stream_.has_tls()) {
    // A refusal would need a handshake; it is only recorded.
    state_->hooks_.refuse_(RefusalReason::kTooManyConnections);
  } else {
    keep_alive_ = false;
    Refuse(RefusalReason::kTooManyConnections);
  }
  stream_.socket().shutdown(tcp::socket::shutdown_both, error);
  stream_.Close();
  peers_->Erase(this);
  yield_ = nullptr;
}

bool HttpConnection::Handshake() {
  stream_.ExpiresAfter(state_->limits_.read_timeout_);
  error_code error;
  stream_.Handshake(*yield_, &error);
  stream_.ExpiresNever();
  return !error;
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
  return SendComplete(reply, keep_alive_, head_request_);
}

bool HttpConnection::StartStream(const HttpReply& head) {
  if (!BeginResponse(ResponseState::kStreaming)) {
    return false;
  }
  UpdateKeepAlive();
  stream_has_body_ = MayHaveBody(head.status_, head_request_);
  return stream_has_body_ ? Send(StreamHeadText(head, keep_alive_))
                          : SendComplete(head, keep_alive_, true);
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
  HttpRequest request;
  if (!ReadRequest(&request)) {
    return false;
  }
  head_request_ = request.method_ == "HEAD";
  ++state_->active_requests_;
  EnterPhase(Phase::kServing);
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
  --state_->active_requests_;
  return !caller_gone_;
}

bool HttpConnection::ReadRequest(HttpRequest* request) {
  error_code error;
  // The parser, which holds the body, is gone while a refusal is sent.
  const auto refusal = ReadMessage(request, &error);
  if (!refusal && !error) {
    stream_.ExpiresNever();
    return true;
  }
  *request = HttpRequest();
  if (refusal) {
    EndWith(*refusal);
  } else {
    RefuseUnreadable(error);
  }
  return false;
}

std::optional<HttpReply> HttpConnection::ReadMessage(HttpRequest* request,
                                                     error_code* error) {
  const auto& hooks = state_->hooks_;
  // The limits may have changed during the wait.
  const HttpLimits& limits = state_->limits_;
  Parser parser;
  parser.header_limit(limits.header_bytes_);
  parser.body_limit(limits.body_bytes_);
  // A chunk line or a trailer is parsed once it is complete, so that the buffer
  // bounds its size.
  buffer_.max_size(
      std::max<size_t>(buffer_.size(), limits.header_bytes_ + kFirstReadBytes));
  stream_.ExpiresAfter(limits.read_timeout_);
  if (!Charge(buffer_.max_size(), PlaceNeeded::kConnection)) {
    return hooks.refuse_(RefusalReason::kBodyMemoryExhausted);
  }
  CountTraffic(
      http::async_read_header(stream_, buffer_, parser, (*yield_)[*error]));
  if (*error) {
    return std::nullopt;
  }
  if (HasUnclearFraming(parser.get())) {
    return hooks.refuse_(RefusalReason::kMalformedRequest);
  }
  *request = HeadOf(parser.get());
  if (hooks.refuse_head_) {
    if (auto refusal = hooks.refuse_head_(*request)) {
      return refusal;
    }
  }
  if (!ReadBody(HeadBytes(*request), &parser, error)) {
    return hooks.refuse_(RefusalReason::kBodyMemoryExhausted);
  }
  keep_alive_ = parser.get().keep_alive();
  request->body_ = std::move(parser.get().body());
  return std::nullopt;
}

bool HttpConnection::ReadBody(size_t head_bytes,
                              Parser* parser,
                              error_code* error) {
  const uint64_t head = kRequestBytes + head_bytes * kParsedHeadRatio;
  const uint64_t length = std::min<uint64_t>(
      parser->content_length().value_or(0), state_->limits_.body_bytes_);
  if (!Charge(head + length, PlaceNeeded::kRequest)) {
    return false;
  }
  if (parser->get()[http::field::expect] == "100-continue") {
    Send(kContinue);
    stream_.ExpiresAfter(state_->limits_.read_timeout_);
  }
  parser->eager(true);
  while (!*error && !parser->is_done()) {
    const size_t got =
        http::async_read_some(stream_, buffer_, *parser, (*yield_)[*error]);
    CountTraffic(got);
    activity_.received_ += got;
    const uint64_t held =
        std::max<uint64_t>(length, parser->get().body().capacity());
    if (!*error && !Charge(head + held, PlaceNeeded::kRequest)) {
      return false;
    }
  }
  return true;
}

bool HttpConnection::TakePlace() {
  const bool is_over = state_->connections_ > state_->limits_.connections_;
  return (!is_over || peers_->CloseOne(PlaceNeeded::kConnection,
                                       state_->MinReadRate(), this)) &&
         Charge(0, PlaceNeeded::kConnection);
}

bool HttpConnection::Charge(uint64_t bytes, PlaceNeeded needed) {
  // One body of maximum size is always accepted, even if memory_bytes_ is
  // lower.
  const HttpLimits& limits = state_->limits_;
  const uint64_t limit =
      std::max(limits.memory_bytes_, limits.body_bytes_ + kMinMemory);
  bool has_room = charge_.Resize(OwnBytes() + bytes, limit);
  while (!has_room && peers_->CloseOne(needed, state_->MinReadRate(), this)) {
    // The closed connection gives its memory back in its own coroutine.
    for (int turn = 0; turn < kTurnsToClose && !has_room; ++turn) {
      asio::post(stream_.get_executor(), *yield_);
      has_room = charge_.Resize(OwnBytes() + bytes, limit);
    }
  }
  return has_room;
}

uint64_t HttpConnection::OwnBytes() const {
  return kConnectionBytes + (stream_.has_tls() ? kTlsBytes : 0);
}

void HttpConnection::EnterPhase(Phase phase) {
  activity_ = {phase, SteadyNow(), 0};
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
  EndWith(state_->hooks_.refuse_(reason));
}

void HttpConnection::EndWith(const HttpReply& reply) {
  keep_alive_ = false;
  EnterPhase(Phase::kClosing);
  buffer_.clear();
  buffer_.shrink_to_fit();
  if (charge_.bytes() > OwnBytes()) {
    charge_.Resize(OwnBytes(), 0);
  }
  if (SendComplete(reply, false, false)) {
    Linger();
  }
}

void HttpConnection::Linger() {
  // Closing the socket while the caller still sends would reset the connection
  // before the caller has read the refusal.
  error_code error;
  stream_.socket().shutdown(tcp::socket::shutdown_send, error);
  stream_.ExpiresAfter(kLingerTime);
  char sink[kDiscardBytes];
  size_t taken = 0;
  while (!error && taken < kLingerBytes) {
    taken += stream_.async_read_some(asio::buffer(sink), (*yield_)[error]);
  }
}

bool HttpConnection::Send(std::string_view head, std::string_view body) {
  if (caller_gone_) {
    return false;
  }
  stream_.ExpiresAfter(state_->limits_.write_timeout_);
  const std::array<asio::const_buffer, 2> message = {
      asio::buffer(head.data(), head.size()),
      asio::buffer(body.data(), body.size())};
  error_code error;
  CountTraffic(asio::async_write(stream_, message, (*yield_)[error]));
  if (error) {
    caller_gone_ = true;
    return false;
  }
  stream_.ExpiresNever();
  return true;
}

bool HttpConnection::SendComplete(const HttpReply& reply,
                                  bool keep_alive,
                                  bool head_request) {
  const std::string head = CompleteReplyHead(reply, keep_alive);
  return Send(head, head_request ? std::string_view() : reply.body_);
}

void HttpConnection::UpdateKeepAlive() {
  keep_alive_ = keep_alive_ && !state_->close_after_replies_;
}

}  // namespace citronlane::detail
