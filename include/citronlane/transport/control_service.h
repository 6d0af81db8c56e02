#ifndef CITRONLANE_TRANSPORT_CONTROL_SERVICE_H_
#define CITRONLANE_TRANSPORT_CONTROL_SERVICE_H_

#include <cstddef>
#include <memory>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/transport/control_service_hooks.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// The gRPC service for gateways on a control VM. Start and Stop are called by
/// one thread.
class ControlService {
 public:
  /// `listen` is "IP:port"; at most `max_pending` calls wait at once.
  ControlService(std::string listen,
                 TlsFiles tls,
                 size_t max_pending,
                 ControlServiceHooks hooks);
  ~ControlService();
  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  /// Returns false and a reason when the address is taken.
  bool Start(Error* error);

  /// Ends the server. Precondition: every `done` handed out was or is being
  /// called, and the watch streams end.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONTROL_SERVICE_H_
