#ifndef CITRONLANE_TRANSPORT_REPLICATION_PEER_H_
#define CITRONLANE_TRANSPORT_REPLICATION_PEER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/consensus/message.h"

namespace grpc {
class ChannelCredentials;
}  // namespace grpc

namespace citronlane {

struct ReplicationGreeting;

/// Sends the consensus messages to one other control VM, in order, over one
/// stream. A message may be lost; then all that are queued are, and the stream
/// is opened again by a later Send. Thread safe.
class ReplicationPeer {
 public:
  using GreetingHook = std::function<void(const ReplicationGreeting& greeting)>;

  /// `own_id` and `own_address` ("IP:port") tell the other node where to
  /// answer.
  ReplicationPeer(uint64_t own_id,
                  std::string own_address,
                  const std::string& address,
                  const std::shared_ptr<grpc::ChannelCredentials>& credentials);
  /// Cancels what is out and waits for it.
  ~ReplicationPeer();
  ReplicationPeer(const ReplicationPeer&) = delete;
  ReplicationPeer& operator=(const ReplicationPeer&) = delete;

  /// Queues the messages. Drops them when the peer can not be reached or does
  /// not keep up.
  void Send(TimePoint now, std::vector<Message> messages);

  /// Asks the peer who it is. `done` runs on a thread of gRPC's, only when an
  /// answer came.
  void Greet(uint64_t own_incarnation, GreetingHook done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLICATION_PEER_H_
