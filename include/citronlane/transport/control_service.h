#ifndef CITRONLANE_TRANSPORT_CONTROL_SERVICE_H_
#define CITRONLANE_TRANSPORT_CONTROL_SERVICE_H_

#include <cstddef>
#include <memory>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/transport/control_service_hooks.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// The gRPC service of a control VM for the gateways. It only transports calls;
/// the hooks implement them. Start and Stop must be called by one thread.
class ControlService {
 public:
  /// `listen` is "IP:port". Calls beyond `max_pending` that wait for `done`
  /// fail with RESOURCE_EXHAUSTED.
  ControlService(std::string listen,
                 TlsFiles tls,
                 size_t max_pending,
                 ControlServiceHooks hooks);
  ~ControlService();
  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  /// Returns false and sets `error` if the address can't be bound or a TLS file
  /// can't be used. Call once.
  bool Start(Error* error);

  /// Shuts the server down and waits for its calls. Precondition: every `done`
  /// has been called or is about to be called, and the watch streams end (see
  /// ConfigFeed::EndAll). May be called again.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONTROL_SERVICE_H_
