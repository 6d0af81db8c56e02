#include "citronlane/transport/detail/call_tracker.h"

#include <grpcpp/client_context.h>

namespace citronlane {

bool CallTracker::Begin(grpc::ClientContext* context) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!stopping_) {
    calls_.insert(context);
  }
  return !stopping_;
}

void CallTracker::End(grpc::ClientContext* context) {
  const std::lock_guard<std::mutex> lock(mutex_);
  calls_.erase(context);
  over_.notify_all();
}

bool CallTracker::is_stopping() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stopping_;
}

void CallTracker::Stop() {
  std::unique_lock<std::mutex> lock(mutex_);
  stopping_ = true;
  for (grpc::ClientContext* context : calls_) {
    context->TryCancel();
  }
  over_.wait(lock, [this] { return calls_.empty(); });
}

}  // namespace citronlane
