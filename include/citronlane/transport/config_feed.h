#ifndef CITRONLANE_TRANSPORT_CONFIG_FEED_H_
#define CITRONLANE_TRANSPORT_CONFIG_FEED_H_

#include <grpcpp/support/byte_buffer.h>
#include <grpcpp/support/server_callback.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace citronlane {

namespace wire {
class ConfigUpdate;
}

/// Sends configuration updates to the gateways that watch this node. Each
/// update is serialized once and shared by all streams. Thread safe. All
/// streams must have ended (the gRPC server is shut down) before it is
/// destroyed.
class ConfigFeed {
 public:
  using Stream = grpc::ServerWriteReactor<grpc::ByteBuffer>;
  /// Returns the first update for a watcher.
  using CatchUp = std::function<wire::ConfigUpdate()>;

  /// Watchers beyond `max_watchers` are rejected.
  explicit ConfigFeed(size_t max_watchers);
  ~ConfigFeed();
  ConfigFeed(const ConfigFeed&) = delete;
  ConfigFeed& operator=(const ConfigFeed&) = delete;

  /// Opens a stream for a watcher that holds `version`; gRPC owns the stream.
  /// Its first update is the result of `catch_up`, which is called at most once
  /// per version between two calls of Publish. Precondition: Publish is not
  /// called at the same time.
  Stream* Open(uint64_t version, const CatchUp& catch_up);

  /// Sends an update to every stream. A stream with too many unsent updates is
  /// ended.
  void Publish(const wire::ConfigUpdate& update);

  /// Ends every stream; the watchers reconnect and catch up.
  void EndAll();

  size_t watchers() const;

 private:
  class WatchStream;
  using Bytes = std::shared_ptr<const grpc::ByteBuffer>;

  void Remove(WatchStream* stream);

  const size_t max_watchers_;
  mutable std::mutex mutex_;
  std::set<WatchStream*> streams_;
  /// Serialized first updates by the version that the watcher holds.
  std::map<uint64_t, Bytes> catch_ups_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONFIG_FEED_H_
