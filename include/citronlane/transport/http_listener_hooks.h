#ifndef CITRONLANE_TRANSPORT_HTTP_LISTENER_HOOKS_H_
#define CITRONLANE_TRANSPORT_HTTP_LISTENER_HOOKS_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"
#include "citronlane/transport/http_reply.h"

namespace citronlane {

class HttpExchange;
struct HttpRequest;

/// Request handling of an HttpListener. Called concurrently on the threads of
/// the connections. serve_ and refuse_ must be set.
struct HttpListenerHooks {
  /// Serves one request, in the connection's coroutine on the thread of
  /// `shard`. Must respond through the exchange before it returns.
  std::function<void(size_t shard, const HttpRequest&, HttpExchange*)> serve_;
  /// Returns the response to a request that can't be read, or to a connection
  /// over the limit. Nothing of the request ran. The response is discarded if
  /// the connection is already closed.
  std::function<HttpReply(RefusalReason)> refuse_;
  /// Returns a response if the request is refused by its head alone; its body
  /// is not read then. Optional.
  std::function<std::optional<HttpReply>(const HttpRequest& head)> refuse_head_;
  /// The handler misused its exchange; the call had no effect. Optional.
  std::function<void(const HttpRequest&, std::string_view what)> misused_;
  /// The connection closes without the whole response to this request, which
  /// was read completely. `reason` is `caller_gone`, `broken_off` (the response
  /// had begun) or `no_response`. Optional.
  std::function<void(const HttpRequest&, std::string_view reason)> unanswered_;
  /// Whether the first request of a connection, which has begun to arrive, is
  /// read. If not, the connection is closed with nothing read, so that its
  /// caller may send the request elsewhere, whatever it is. `close_stalled`
  /// closes another connection that is reading a request and returns true, if
  /// there is one whose caller stalls. Optional: all are read.
  std::function<bool(const std::function<bool()>& close_stalled)> may_read_;
  /// A connection was closed because others needed its place. `phase` is that
  /// of ConnectionActivity, `stall` how long its caller had kept it waiting.
  /// Optional.
  std::function<void(std::string_view phase, Duration stall)> place_lost_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_LISTENER_HOOKS_H_
