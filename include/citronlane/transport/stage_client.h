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

class ReplyMemory;

/// HTTP/1.1 client for calls to backend servers, with a pool of kept-alive
/// connections per server. It sends each call at most once; retries are up
/// to the code that starts the call. Not thread safe: used on the one thread
/// that runs the io_context.
class StageClient {
 public:
  /// `io` must outlive the client.
  StageClient(boost::asio::io_context* io, const StageLimits& limits);
  ~StageClient();
  StageClient(const StageClient&) = delete;
  StageClient& operator=(const StageClient&) = delete;

  /// Starts a call. If called on the thread that runs the io_context, hooks may
  /// be called before Start returns.
  std::shared_ptr<StageCall> Start(StageCallSpec spec, StageCallHooks hooks);

  /// Number of idle connections that are kept.
  size_t idle_connections() const;

  /// Memory for replies that are kept until they are whole, shared by the
  /// client's own calls and the owners of streamed ones.
  ReplyMemory* reply_memory();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_CLIENT_H_
