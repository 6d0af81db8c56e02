#ifndef CITRONLANE_CONTROL_REPLICA_H_
#define CITRONLANE_CONTROL_REPLICA_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/control/replica_hooks.h"
#include "citronlane/control/replica_options.h"
#include "citronlane/control/replica_status.h"

namespace citronlane {

/// One control VM's copy of the replicated log: drives a RaftNode with the disk
/// (group commit) and the network (gRPC between control VMs) on a thread of its
/// own. The replicated state machine is behind ReplicaHooks. Thread safe,
/// except that Start and Stop are called by one thread.
class Replica {
 public:
  /// Receives the result of the command, or nullopt with the reason when it is
  /// not known to be committed; it may be committed later.
  using ProposeDone = std::function<void(std::optional<std::string> result,
                                         const Error& error)>;
  /// Receives whether a read was confirmed; see Read.
  using ReadDone = std::function<void(bool confirmed)>;

  Replica(ReplicaOptions options, ReplicaHooks hooks);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Reads the disk, restores the last snapshot through the hooks and starts
  /// the thread. Call once. Returns false and sets `error` when the disk can
  /// not be trusted or the service can not be started.
  bool Start(Error* error);

  /// Transfers the leadership if this node has it, for at most two election
  /// timeouts, then ends the thread.
  void Stop();

  /// Appends a command. `done` runs on the replica's thread, or within the call
  /// when the replica is not running or its queue is full.
  void Propose(std::string payload, ProposeDone done);

  /// Starts a linearizable read: `done` gets true once a quorum has confirmed
  /// this node as leader and everything committed before the call is applied
  /// here, and false when that fails. Runs `done` as Propose does.
  void Read(ReadDone done);

  /// Adds a learner, promotes a learner to a voter, or removes a node. `done`
  /// gets an empty result once the change is committed; it runs as for Propose.
  void AddLearner(uint64_t id, std::string address, ProposeDone done);
  void Promote(uint64_t id, ProposeDone done);
  void Remove(uint64_t id, ProposeDone done);

  ReplicaStatus status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_REPLICA_H_
