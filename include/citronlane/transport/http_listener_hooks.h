#ifndef CITRONLANE_TRANSPORT_HTTP_LISTENER_HOOKS_H_
#define CITRONLANE_TRANSPORT_HTTP_LISTENER_HOOKS_H_

#include <cstddef>
#include <functional>
#include <string_view>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/transport/http_reply.h"

namespace citronlane {

class HttpExchange;
struct HttpRequest;

/// What a listener does with what it reads. Called on the threads of the
/// connections.
struct HttpListenerHooks {
  /// Serves one request; runs in the connection's coroutine on the given
  /// thread.
  std::function<void(size_t shard, const HttpRequest&, HttpExchange*)> serve_;
  /// Builds the reply to a request that can't be read; nothing of it ran.
  std::function<HttpReply(RefusalReason)> refuse_;
  /// A handler did with its exchange what it must not, which was not done.
  /// Optional.
  std::function<void(const HttpRequest&, std::string_view what)> misused_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_LISTENER_HOOKS_H_
