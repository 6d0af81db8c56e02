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

/// Sends Raft messages to one other control VM, in order, over one stream.
/// Messages may be lost: all that are queued when the stream breaks, and those
/// that find the queue full. A later Send opens the stream again. Thread safe.
class ReplicationPeer {
 public:
  using GreetingHook = std::function<void(const ReplicationGreeting& greeting)>;

  /// `own_id` and `own_address` ("IP:port") are sent to the other node, so that
  /// it can reply. `address` is the "IP:port" of the other node.
  ReplicationPeer(uint64_t own_id,
                  std::string own_address,
                  const std::string& address,
                  const std::shared_ptr<grpc::ChannelCredentials>& credentials);
  /// Cancels the stream and a greeting in flight, and waits for them. Must not
  /// be called from a GreetingHook.
  ~ReplicationPeer();
  ReplicationPeer(const ReplicationPeer&) = delete;
  ReplicationPeer& operator=(const ReplicationPeer&) = delete;

  /// Queues the messages and returns immediately. They are dropped if the peer
  /// can't be reached or doesn't keep up.
  void Send(TimePoint now, std::vector<Message> messages);

  /// Requests the peer's greeting. `done` is called on a gRPC thread, but only
  /// if the peer replies; ignored while another greeting is in flight.
  void Greet(uint64_t own_incarnation, GreetingHook done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLICATION_PEER_H_
