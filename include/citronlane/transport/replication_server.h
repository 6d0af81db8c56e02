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

/// Receives the consensus messages of the other control VMs. Thread safe.
class ReplicationServer {
 public:
  /// Called on gRPC's threads, several at once.
  struct Hooks {
    std::function<void(Message message)> received_;
    /// Node `id` answers at `address`.
    std::function<void(uint64_t id, std::string address)> peer_seen_;
    std::function<ReplicationGreeting()> greet_;
  };

  ReplicationServer(std::string listen,
                    std::shared_ptr<grpc::ServerCredentials> credentials,
                    Hooks hooks);
  /// Ends the server and waits for its calls.
  ~ReplicationServer();
  ReplicationServer(const ReplicationServer&) = delete;
  ReplicationServer& operator=(const ReplicationServer&) = delete;

  /// Binds the address; false and a reason when it is taken. Call once.
  bool Start(Error* error);

  /// Port it listens on, after Start.
  int port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLICATION_SERVER_H_
