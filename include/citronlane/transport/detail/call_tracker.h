#ifndef CITRONLANE_TRANSPORT_DETAIL_CALL_TRACKER_H_
#define CITRONLANE_TRANSPORT_DETAIL_CALL_TRACKER_H_

#include <condition_variable>
#include <mutex>
#include <set>

namespace grpc {
class ClientContext;
}

namespace citronlane {

/// Tracks gRPC calls in flight, so that Stop can cancel them and wait for them.
/// Thread safe.
class CallTracker {
 public:
  /// Registers a call that is about to start. Returns false after Stop: the
  /// call must not be started, and End must not be called.
  bool Begin(grpc::ClientContext* context);
  /// Unregisters a call. Must be the last action of its callback.
  void End(grpc::ClientContext* context);

  bool is_stopping() const;

  /// Cancels all calls and waits until they have ended. May be called again.
  void Stop();

 private:
  mutable std::mutex mutex_;
  std::condition_variable over_;
  std::set<grpc::ClientContext*> calls_;
  bool stopping_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_CALL_TRACKER_H_
