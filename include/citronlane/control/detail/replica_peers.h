#ifndef CITRONLANE_CONTROL_DETAIL_REPLICA_PEERS_H_
#define CITRONLANE_CONTROL_DETAIL_REPLICA_PEERS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/consensus/membership.h"
#include "citronlane/consensus/message.h"
#include "citronlane/transport/replication_peer.h"

namespace citronlane {

/// Connections of one replica to the others, made when first needed. Not thread
/// safe, except for Learn.
class ReplicaPeers {
 public:
  ReplicaPeers(uint64_t own_id,
               std::string own_address,
               std::shared_ptr<grpc::ChannelCredentials> credentials);

  /// Records the address that node `id` reported for itself; used while the
  /// membership does not name it. Thread safe.
  void Learn(uint64_t id, std::string address);

  /// Sends each message to its node, at the address in `membership` or the
  /// recorded one; messages to nodes without either are dropped.
  void Send(TimePoint now,
            const Membership& membership,
            std::vector<Message> messages);

  /// Returns the connection to node `id` at `address`.
  ReplicationPeer& Get(uint64_t id, const std::string& address);

  void Clear() { connections_.clear(); }

 private:
  struct Connection {
    std::string address_;
    std::unique_ptr<ReplicationPeer> peer_;
  };

  std::string AddressOf(uint64_t id, const Membership& membership);

  const uint64_t own_id_;
  const std::string own_address_;
  const std::shared_ptr<grpc::ChannelCredentials> credentials_;
  std::map<uint64_t, Connection> connections_;
  std::mutex mutex_;
  std::map<uint64_t, std::string> learned_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_REPLICA_PEERS_H_
