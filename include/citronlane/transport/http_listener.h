#ifndef CITRONLANE_TRANSPORT_HTTP_LISTENER_H_
#define CITRONLANE_TRANSPORT_HTTP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "citronlane/base/error.h"
#include "citronlane/transport/http_limits.h"
#include "citronlane/transport/http_listener_hooks.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace citronlane {

/// Callers' HTTP/1.1 listener: keep-alive connections, spread over threads,
/// each served by one coroutine. Every io_context must be run by one thread.
/// The public methods are thread safe.
class HttpListener {
 public:
  /// Precondition: the contexts outlive the listener.
  HttpListener(std::vector<boost::asio::io_context*> shards,
               const HttpLimits& limits,
               HttpListenerHooks hooks);
  /// Precondition: the threads of the shards have ended.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Binds an IP number; port 0 takes any free port. Returns false and a
  /// reason when that fails. Call once, before the threads run.
  bool Listen(const std::string& address, uint16_t port, Error* error);

  /// Port bound. Precondition: Listen returned true.
  uint16_t port() const;

  /// Bounds requests and connections from now on. Preconditions: one shard;
  /// called on its thread.
  void SetLimits(const HttpLimits& limits);

  /// Each reply from now on closes its connection.
  void CloseAfterReplies();

  /// Stops accepting and closes connections without a request in hand.
  void StopAccepting();

  /// Requests now with the handler.
  size_t active_requests() const;
  size_t connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_LISTENER_H_
