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

/// Serves what callers ask of a gateway: work, and its health. Thread safe.
class CallerService {
 public:
  explicit CallerService(CallerServiceParts parts);

  /// Serves one request on the thread of that shard; returns when it is
  /// answered.
  void Serve(size_t shard, const HttpRequest& request, HttpExchange* exchange);

  /// Reply to a request that could not be read.
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
