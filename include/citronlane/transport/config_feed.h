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

/// Sends configuration updates to the gateways that watch here. Each update is
/// serialised once; the streams share its bytes. Thread safe. The streams must
/// be over (the server shut down) before it is destroyed.
class ConfigFeed {
 public:
  using Stream = grpc::ServerWriteReactor<grpc::ByteBuffer>;
  using CatchUp = std::function<wire::ConfigUpdate()>;

  explicit ConfigFeed(size_t max_watchers);
  ~ConfigFeed();
  ConfigFeed(const ConfigFeed&) = delete;
  ConfigFeed& operator=(const ConfigFeed&) = delete;

  /// Opens a stream for a watcher that holds `version`. `catch_up` returns the
  /// first update; it is asked once for all watchers of a version that open
  /// between two updates. Precondition: no update is published meanwhile.
  Stream* Open(uint64_t version, const CatchUp& catch_up);

  /// Sends an update to every stream; one that is too far behind ends.
  void Publish(const wire::ConfigUpdate& update);

  /// Ends every stream; the watchers come back and catch up.
  void EndAll();

  size_t watchers() const;

 private:
  class WatchStream;
  using Bytes = std::shared_ptr<const grpc::ByteBuffer>;

  void Remove(WatchStream* stream);

  const size_t max_watchers_;
  mutable std::mutex mutex_;
  std::set<WatchStream*> streams_;
  /// First updates by the version they start from.
  std::map<uint64_t, Bytes> catch_ups_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONFIG_FEED_H_
