#ifndef CITRONLANE_TRANSPORT_DETAIL_CALL_TRACKER_H_
#define CITRONLANE_TRANSPORT_DETAIL_CALL_TRACKER_H_

#include <condition_variable>
#include <mutex>
#include <set>

namespace grpc {
class ClientContext;
}

namespace citronlane {

/// Knows the calls that are under way, so that an end can cancel them and wait
/// for them. Thread safe.
class CallTracker {
 public:
  /// A call is about to start. False when none may start any more.
  bool Begin(grpc::ClientContext* context);
  /// The call is over; the last thing its callback does.
  void End(grpc::ClientContext* context);

  bool is_stopping() const;

  /// Cancels everything and waits until it is over. May be called twice.
  void Stop();

 private:
  mutable std::mutex mutex_;
  std::condition_variable over_;
  std::set<grpc::ClientContext*> calls_;
  bool stopping_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_CALL_TRACKER_H_
