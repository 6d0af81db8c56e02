#ifndef CITRONLANE_TRANSPORT_ADMIN_SERVER_H_
#define CITRONLANE_TRANSPORT_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/transport/admin_request.h"
#include "citronlane/transport/admin_response.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// HTTP server of the administration API, on a few threads of its own. Start
/// and Stop are called by one thread.
class AdminServer {
 public:
  /// Called from several threads at once; may block for seconds.
  using Handler = std::function<AdminResponse(const AdminRequest&)>;

  /// `listen` is "IP:port".
  AdminServer(std::string listen, TlsFiles tls, Handler handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Returns false and a reason when the address is taken or a file of the TLS
  /// settings can't be read.
  bool Start(Error* error);
  /// May be called twice.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_ADMIN_SERVER_H_
