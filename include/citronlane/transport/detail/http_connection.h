#ifndef CITRONLANE_TRANSPORT_DETAIL_HTTP_CONNECTION_H_
#define CITRONLANE_TRANSPORT_DETAIL_HTTP_CONNECTION_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/transport/detail/http_listener_state.h"
#include "citronlane/transport/http_exchange.h"

namespace citronlane::detail {

/// One caller's connection: reads requests one after the other and passes each
/// to the handler, with itself as the exchange. Not thread safe: used on the
/// thread of its shard.
class HttpConnection : public HttpExchange,
                       public std::enable_shared_from_this<HttpConnection> {
 public:
  using Socket =
      boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                       boost::asio::io_context::executor_type>;

  HttpConnection(Socket socket,
                 boost::asio::io_context* io,
                 std::shared_ptr<HttpListenerState> state,
                 std::shared_ptr<HttpConnectionSet> peers,
                 size_t shard);
  ~HttpConnection() override;

  /// Serves requests until the connection is closed. Call once, in a coroutine.
  void Run(const boost::asio::yield_context& yield);
  /// Refuses the connection because of the connection limit and closes it. Call
  /// once, in a coroutine, instead of Run.
  void RunRefused(const boost::asio::yield_context& yield);
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
  using Stream =
      boost::beast::basic_stream<boost::asio::ip::tcp,
                                 boost::asio::io_context::executor_type>;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// How much of the response to the current request was sent.
  enum class ResponseState { kNone, kStreaming, kComplete };

  bool ServeOne();
  bool ReadAndServe();
  bool BeginResponse(ResponseState state);
  void ReportMisuse(std::string_view what);
  /// Reports a request whose connection closes before its whole response.
  void ReportUnanswered();
  bool WaitForFirstByte();
  /// Whether the request that has begun to arrive is read.
  bool MayRead();
  /// Whether bytes of a further request have arrived.
  bool HasReceived();
  bool ReadRequest(Parser* parser);
  bool ReserveBody(const Parser& parser);
  void ReleaseBody();
  void RefuseUnreadable(const boost::system::error_code& error);
  void Refuse(RefusalReason reason);
  void Linger();
  bool Send(std::string_view text);
  void UpdateKeepAlive();
  void WatchCaller();
  void StopWatching();
  bool IsClosed();

  Stream stream_;
  boost::asio::steady_timer wake_;
  boost::asio::steady_timer idle_timer_;
  boost::asio::steady_timer::time_point idle_since_;
  const std::shared_ptr<HttpListenerState> state_;
  const std::shared_ptr<HttpConnectionSet> peers_;
  const size_t shard_;
  boost::beast::flat_buffer buffer_;
  const boost::asio::yield_context* yield_ = nullptr;
  uint64_t reserved_bytes_ = 0;
  const HttpRequest* request_ = nullptr;
  ResponseState response_state_ = ResponseState::kNone;
  /// No request was read yet.
  bool is_first_ = true;
  bool keep_alive_ = true;
  bool head_request_ = false;
  bool stream_has_body_ = true;
  bool idle_ = false;
  bool watching_ = false;
  bool notified_ = false;
  bool caller_gone_ = false;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_HTTP_CONNECTION_H_
