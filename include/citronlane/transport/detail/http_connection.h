#ifndef CITRONLANE_TRANSPORT_DETAIL_HTTP_CONNECTION_H_
#define CITRONLANE_TRANSPORT_DETAIL_HTTP_CONNECTION_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/transport/connection_activity.h"
#include "citronlane/transport/detail/http_connection_set.h"
#include "citronlane/transport/detail/http_listener_state.h"
#include "citronlane/transport/detail/http_stream.h"
#include "citronlane/transport/detail/memory_charge.h"
#include "citronlane/transport/http_exchange.h"

namespace citronlane::detail {

/// One caller's connection: reads requests one after the other and passes each
/// to the handler, with itself as the exchange. Not thread safe: used on the
/// thread of its shard.
class HttpConnection : public HttpExchange,
                       public std::enable_shared_from_this<HttpConnection> {
 public:
  using Socket = HttpStream::Socket;

  HttpConnection(Socket socket,
                 boost::asio::io_context* io,
                 std::shared_ptr<HttpListenerState> state,
                 std::shared_ptr<HttpConnectionSet> peers,
                 size_t shard);
  ~HttpConnection() override;

  /// Serves requests until the connection is closed, or refuses the connection
  /// if there is no place for it. Call once, in a coroutine.
  void Run(const boost::asio::yield_context& yield);

  /// What the connection is doing; decides whether it loses its place.
  const ConnectionActivity& activity() const { return activity_; }
  /// Whether CloseForOther may be called now.
  bool IsCloseable();
  /// Closes the connection because another one needs its place. Precondition:
  /// no request is being served.
  void CloseForOther();

  /// Closes the connection if it is waiting for its next request and nothing of
  /// that has arrived.
  void CloseIfIdle();
  /// Applies the current idle timeout, counted from the beginning of the wait,
  /// if the connection is waiting for its next request.
  void UpdateIdleTimeout();

  bool Reply(const HttpReply& reply) override;
  bool StartStream(const HttpReply& head) override;
  bool Write(std::string_view bytes) override;
  bool EndStream() override;
  void Abort() override;
  void Wait() override;
  void Notify() override;
  bool caller_gone() const override { return caller_gone_; }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// How much of the response to the current request was sent.
  enum class ResponseState { kNone, kStreaming, kComplete };
  using Phase = ConnectionActivity::Phase;

  /// Maximum size of the first read of a request.
  static constexpr size_t kFirstReadBytes = 4096;

  /// Returns whether TLS is established.
  bool Handshake();
  bool ServeOne();
  bool ReadAndServe();
  bool BeginResponse(ResponseState state);
  void ReportMisuse(std::string_view what);
  /// Reports a request whose connection closes before its whole response.
  void ReportUnanswered();
  bool WaitForFirstByte();
  size_t ReadFirstBytes(boost::system::error_code* error);
  /// Whether the request that has begun to arrive is read.
  bool MayRead();
  /// Whether bytes of a further request have arrived.
  bool HasReceived();
  /// Reads a request or refuses it. Returns false if there is none to serve.
  bool ReadRequest(HttpRequest* request);
  /// Reads a request. Returns the response to one that is refused; sets `error`
  /// if it can't be read.
  std::optional<HttpReply> ReadMessage(HttpRequest* request,
                                       boost::system::error_code* error);
  /// Returns false if there is not enough memory for the request.
  bool ReadBody(size_t head_bytes,
                Parser* parser,
                boost::system::error_code* error);
  /// Takes a place among the connections that are served, if need be that of
  /// another one.
  bool TakePlace();
  /// Reserves `bytes` besides those of the connection itself. If the memory is
  /// exhausted, closes connections whose callers stall.
  bool Charge(uint64_t bytes, PlaceNeeded needed);
  /// Memory of the connection without a request.
  uint64_t OwnBytes() const;
  void EnterPhase(Phase phase);
  /// Whether no byte of the next request was read.
  bool IsWaiting() const;
  void RefuseUnreadable(const boost::system::error_code& error);
  void Refuse(RefusalReason reason);
  /// Sends the last response of the connection.
  void EndWith(const HttpReply& reply);
  void Linger();
  bool Send(std::string_view head, std::string_view body = {});
  bool SendComplete(const HttpReply& reply, bool keep_alive, bool head_request);
  void UpdateKeepAlive();
  void WatchCaller();
  void StopWatching();
  bool IsClosed();

  HttpStream stream_;
  boost::asio::steady_timer wake_;
  boost::asio::steady_timer idle_timer_;
  const std::shared_ptr<HttpListenerState> state_;
  const std::shared_ptr<HttpConnectionSet> peers_;
  const size_t shard_;
  boost::beast::flat_buffer buffer_;
  const boost::asio::yield_context* yield_ = nullptr;
  MemoryCharge charge_;
  ConnectionActivity activity_;
  const HttpRequest* request_ = nullptr;
  ResponseState response_state_ = ResponseState::kNone;
  /// No request was read yet.
  bool is_first_ = true;
  bool keep_alive_ = true;
  bool head_request_ = false;
  bool stream_has_body_ = true;
  bool watching_ = false;
  bool notified_ = false;
  bool caller_gone_ = false;
  bool lost_place_ = false;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_HTTP_CONNECTION_H_
