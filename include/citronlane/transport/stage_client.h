#ifndef CITRONLANE_TRANSPORT_STAGE_CLIENT_H_
#define CITRONLANE_TRANSPORT_STAGE_CLIENT_H_

#include <cstddef>
#include <memory>

#include "citronlane/transport/stage_call.h"
#include "citronlane/transport/stage_call_hooks.h"
#include "citronlane/transport/stage_call_spec.h"
#include "citronlane/transport/stage_limits.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace citronlane {

/// Calls backend servers over kept-alive connections, one pool a server. It
/// never sends a call twice: whoever owns the call decides. Not thread safe:
/// used on the one thread that runs the io_context.
class StageClient {
 public:
  /// `io` must outlive the client.
  StageClient(boost::asio::io_context* io, const StageLimits& limits);
  ~StageClient();
  StageClient(const StageClient&) = delete;
  StageClient& operator=(const StageClient&) = delete;

  /// Starts a call. The hooks are first called after Start has returned.
  std::shared_ptr<StageCall> Start(StageCallSpec spec, StageCallHooks hooks);

  /// Connections kept alive now.
  size_t idle_connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_CLIENT_H_
