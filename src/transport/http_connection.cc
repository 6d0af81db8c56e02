#include "citronlane/transport/detail/http_connection.h"

#include <chrono>
#include <utility>

#include <boost/asio/write.hpp>

#include "citronlane/net/traffic_count.h"
#include "citronlane/transport/detail/http_text.h"
#include "citronlane/transport/detail/message_buffers.h"
#include "citronlane/transport/http_request.h"

namespace citronlane::detail {
namespace {

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kDiscardBytes = 4096;
/// How much a refused caller may still send while it receives the refusal.
constexpr size_t kLingerBytes = size_t{4} * 1024 * 1024;
constexpr auto kLingerTime = std::chrono::seconds(1);
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
  error_code error;
  CountTraffic(
      asio::async_write(stream_, MessageBuffers(head, body), (*yield_)[error]));
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
