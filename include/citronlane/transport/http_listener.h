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
namespace ssl {
class context;
}  // namespace ssl
}  // namespace boost::asio

namespace citronlane {

/// HTTP/1.1 listener for callers. Connections are kept alive, distributed over
/// the threads and served by one coroutine each. It parses requests and sends
/// responses; the hooks decide what the response is. Every io_context must be
/// run by exactly one thread. Thread safe unless noted otherwise.
class HttpListener {
 public:
  /// Serves TLS if `tls` is set. Precondition: `shards` is not empty, and its
  /// contexts outlive the listener.
  HttpListener(std::vector<boost::asio::io_context*> shards,
               const HttpLimits& limits,
               HttpListenerHooks hooks,
               std::shared_ptr<boost::asio::ssl::context> tls = nullptr);
  /// Precondition: the threads of the contexts have ended.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Binds an IP address and starts accepting; port 0 selects a free port.
  /// Returns false and sets `error` on failure. Call once, before the threads
  /// run.
  bool Listen(const std::string& address, uint16_t port, Error* error);

  /// Returns the bound port. Precondition: Listen returned true.
  uint16_t port() const;

  /// Sets the limits for further requests and connections. The idle timeout
  /// also applies to connections that are waiting already. Preconditions: there
  /// is one shard; called on its thread.
  void SetLimits(const HttpLimits& limits);

  /// From now on, each response closes its connection.
  void CloseAfterReplies();

  /// Stops accepting and closes idle connections; the others are closed after
  /// their current request, or after the one that has begun to arrive. Takes
  /// effect on the threads of the contexts.
  void StopAccepting();

  /// Number of requests that are being served by the handler.
  size_t active_requests() const;
  /// Number of requests that are being read, served or refused.
  size_t open_requests() const;
  /// Number of open connections.
  size_t connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_LISTENER_H_
