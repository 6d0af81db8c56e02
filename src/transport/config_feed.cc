#include "citronlane/transport/config_feed.h"

#include <grpcpp/impl/codegen/proto_utils.h>

#include <deque>
#include <utility>

#include "control.pb.h"

namespace citronlane {
namespace {

/// Maximum number of unsent updates of one watcher; its stream ends beyond it.
constexpr size_t kMaxQueuedUpdates = 64;

std::shared_ptr<const grpc::ByteBuffer> Serialize(
    const wire::ConfigUpdate& update) {
  auto bytes = std::make_shared<grpc::ByteBuffer>();
  bool own = false;
  grpc::SerializationTraits<wire::ConfigUpdate>::Serialize(update, bytes.get(),
                                                           &own);
  return bytes;
}

}  // namespace

/// The stream of one watcher; deletes itself when it has ended.
class ConfigFeed::WatchStream final : public Stream {
 public:
  explicit WatchStream(ConfigFeed* feed) : feed_(feed) {}

  void Push(Bytes bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (has_ended_) {
      return;
    }
    if (queue_.size() >= kMaxQueuedUpdates) {
      End(grpc::StatusCode::RESOURCE_EXHAUSTED, "The watcher is too slow.");
      return;
    }
    queue_.push_back(std::move(bytes));
    if (queue_.size() == 1) {
      StartWrite(queue_.front().get());
    }
  }

  void Stop(grpc::StatusCode code, const char* reason) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!has_ended_) {
      End(code, reason);
    }
  }

  void OnWriteDone(bool ok) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.pop_front();
    if (has_ended_) {
      return;
    }
    if (!ok) {
      End(grpc::StatusCode::UNAVAILABLE, "The watcher has disconnected.");
    } else if (!queue_.empty()) {
      StartWrite(queue_.front().get());
    }
  }

  void OnCancel() override {
    Stop(grpc::StatusCode::CANCELLED, "The watcher has disconnected.");
  }

  void OnDone() override {
    feed_->Remove(this);
    delete this;
  }

 private:
  // Preconditions: mutex_ is held; not called before.
  void End(grpc::StatusCode code, const char* reason) {
    has_ended_ = true;
    Finish(grpc::Status(code, reason));
  }

  ConfigFeed* const feed_;
  std::mutex mutex_;
  std::deque<Bytes> queue_;
  bool has_ended_ = false;
};

ConfigFeed::ConfigFeed(size_t max_watchers) : max_watchers_(max_watchers) {}

ConfigFeed::~ConfigFeed() = default;

ConfigFeed::Stream* ConfigFeed::Open(uint64_t version,
                                     const CatchUp& catch_up) {
  auto* stream = new WatchStream(this);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (streams_.size() >= max_watchers_) {
    stream->Stop(grpc::StatusCode::RESOURCE_EXHAUSTED, "Too many watchers.");
    return stream;
  }
  Bytes& first = catch_ups_[version];
  if (!first) {
    first = Serialize(catch_up());
  }
  streams_.insert(stream);
  stream->Push(first);
  return stream;
}

void ConfigFeed::Publish(const wire::ConfigUpdate& update) {
  const Bytes bytes = Serialize(update);
  const std::lock_guard<std::mutex> lock(mutex_);
  catch_ups_.clear();
  for (WatchStream* stream : streams_) {
    stream->Push(bytes);
  }
}

void ConfigFeed::EndAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  catch_ups_.clear();
  for (WatchStream* stream : streams_) {
    stream->Stop(grpc::StatusCode::UNAVAILABLE, "The stream is restarted.");
  }
}

size_t ConfigFeed::watchers() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return streams_.size();
}

void ConfigFeed::Remove(WatchStream* stream) {
  const std::lock_guard<std::mutex> lock(mutex_);
  streams_.erase(stream);
}

}  // namespace citronlane
