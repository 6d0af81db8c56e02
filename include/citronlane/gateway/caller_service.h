#ifndef CITRONLANE_GATEWAY_CALLER_SERVICE_H_
#define CITRONLANE_GATEWAY_CALLER_SERVICE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/gateway/caller_service_parts.h"
#include "citronlane/transport/http_reply.h"

namespace citronlane {

class HttpExchange;
struct HttpRequest;

/// Routes the requests of callers: the health and metrics paths are answered
/// directly, all others go to a CallerHandler. Thread safe.
class CallerService {
 public:
  explicit CallerService(CallerServiceParts parts);

  /// Serves one request; returns when it was answered. Must be called on the
  /// thread of `shard`, in the connection's coroutine. Precondition: `shard` is
  /// an index of CallerServiceParts::contexts_.
  void Serve(size_t shard, const HttpRequest& request, HttpExchange* exchange);

  /// Records the refusal of a request that could not be parsed and returns the
  /// response to it.
  HttpReply RefuseUnread(RefusalReason reason);

 private:
  bool ServeHealth(const HttpRequest& request, HttpExchange* exchange);
  void ServeWork(size_t shard,
                 const HttpRequest& request,
                 HttpExchange* exchange);
  std::string NextRequestId();

  const CallerServiceParts parts_;
  std::atomic<uint64_t> next_request_{1};
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CALLER_SERVICE_H_
