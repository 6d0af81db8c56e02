#ifndef CITRONLANE_TRANSPORT_DETAIL_HTTP_LISTENER_STATE_H_
#define CITRONLANE_TRANSPORT_DETAIL_HTTP_LISTENER_STATE_H_

#include <atomic>
#include <cstddef>
#include <unordered_set>
#include <utility>

#include "citronlane/transport/http_limits.h"
#include "citronlane/transport/http_listener_hooks.h"

namespace citronlane::detail {

class HttpConnection;

/// Connections of one thread; accessed on that thread only.
using HttpConnectionSet = std::unordered_set<HttpConnection*>;

/// State shared by the connections of one listener.
struct HttpListenerState {
  HttpListenerState(const HttpLimits& limits, HttpListenerHooks hooks)
      : limits_(limits), hooks_(std::move(hooks)) {}

  HttpLimits limits_;
  const HttpListenerHooks hooks_;
  std::atomic<bool> close_after_replies_{false};
  std::atomic<bool> stopped_{false};
  std::atomic<size_t> active_requests_{0};
  /// Requests of which bytes were read, until their responses are sent.
  std::atomic<size_t> open_requests_{0};
  std::atomic<size_t> connections_{0};
  /// Bytes reserved for the bodies of requests that are being read or served.
  std::atomic<uint64_t> body_bytes_{0};
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_HTTP_LISTENER_STATE_H_
