#ifndef CITRONLANE_TRANSPORT_DETAIL_HTTP_LISTENER_STATE_H_
#define CITRONLANE_TRANSPORT_DETAIL_HTTP_LISTENER_STATE_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <utility>

#include <boost/asio/ssl/context.hpp>

#include "citronlane/transport/detail/caller_memory.h"
#include "citronlane/transport/http_limits.h"
#include "citronlane/transport/http_listener_hooks.h"

namespace citronlane::detail {

/// State shared by the connections of one listener.
struct HttpListenerState {
  using TlsContext = std::shared_ptr<boost::asio::ssl::context>;

  HttpListenerState(const HttpLimits& limits,
                    HttpListenerHooks hooks,
                    TlsContext tls)
      : limits_(limits), hooks_(std::move(hooks)), tls_(std::move(tls)) {}

  /// Bytes per second at which a body of the maximum size is read in time.
  double MinReadRate() const {
    constexpr double kMinSeconds = 1e-3;
    const std::chrono::duration<double> time = limits_.read_timeout_;
    return std::max(1.0, static_cast<double>(limits_.body_bytes_)) /
           std::max(time.count(), kMinSeconds);
  }

  HttpLimits limits_;
  const HttpListenerHooks hooks_;
  /// Null without TLS.
  const TlsContext tls_;
  std::atomic<bool> close_after_replies_{false};
  std::atomic<bool> stopped_{false};
  std::atomic<size_t> active_requests_{0};
  /// Requests of which bytes were read, until their responses are sent.
  std::atomic<size_t> open_requests_{0};
  std::atomic<size_t> connections_{0};
  CallerMemory memory_;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_HTTP_LISTENER_STATE_H_
