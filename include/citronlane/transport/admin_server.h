#ifndef CITRONLANE_TRANSPORT_ADMIN_SERVER_H_
#define CITRONLANE_TRANSPORT_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"
#include "citronlane/transport/admin_request.h"
#include "citronlane/transport/admin_response.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// HTTP server of the administration API: an HttpListener with threads of its
/// own, since handlers may block. It only transports requests; the handler
/// implements the API. Start and Stop must be called by one thread.
class AdminServer {
 public:
  /// Returns the response to a request. Called concurrently from several
  /// threads; may block for seconds.
  using Handler = std::function<AdminResponse(const AdminRequest&)>;

  /// Returns a response if a request is refused by its head alone, so that its
  /// body isn't read. The request has no body yet. Must not block.
  using HeadHandler =
      std::function<std::optional<AdminResponse>(const AdminRequest& head)>;

  /// What the owner may observe or decide; each hook is optional.
  struct Hooks {
    HeadHandler refuse_;
    /// A request could not be read, or there was no place for it.
    std::function<void(RefusalReason)> unread_;
    /// See HttpListenerHooks::place_lost_.
    std::function<void(std::string_view phase, Duration stall)> place_lost_;
  };

  /// `listen` is "IP:port". Serves TLS if `tls` names a certificate.
  AdminServer(std::string listen, TlsFiles tls, Handler handler, Hooks hooks);
  AdminServer(std::string listen, TlsFiles tls, Handler handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Returns false and sets `error` if the address can't be bound or a TLS file
  /// can't be read. Call once.
  bool Start(Error* error);
  /// Stops serving; the handler is not running and is not called any more when
  /// it returns. May be called again.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_ADMIN_SERVER_H_
