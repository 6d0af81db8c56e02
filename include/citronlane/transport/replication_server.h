#ifndef CITRONLANE_TRANSPORT_REPLICATION_SERVER_H_
#define CITRONLANE_TRANSPORT_REPLICATION_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/consensus/message.h"

namespace grpc {
class ServerCredentials;
}  // namespace grpc

namespace citronlane {

struct ReplicationGreeting;

/// Receives the Raft messages of the other control VMs. Thread safe.
class ReplicationServer {
 public:
  /// Called concurrently on several gRPC threads. All must be set.
  struct Hooks {
    /// A message arrived.
    std::function<void(Message message)> received_;
    /// Node `id` opened a stream and can be reached at `address`.
    std::function<void(uint64_t id, std::string address)> peer_contacted_;
    /// Returns the greeting of this node.
    std::function<ReplicationGreeting()> greet_;
  };

  ReplicationServer(std::string listen,
                    std::shared_ptr<grpc::ServerCredentials> credentials,
                    Hooks hooks);
  /// Shuts the server down and waits for its calls.
  ~ReplicationServer();
  ReplicationServer(const ReplicationServer&) = delete;
  ReplicationServer& operator=(const ReplicationServer&) = delete;

  /// Binds the address and starts serving. Returns false and sets `error` if it
  /// can't be bound. Call once.
  bool Start(Error* error);

  /// Returns the bound port. Precondition: Start returned true.
  int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLICATION_SERVER_H_
