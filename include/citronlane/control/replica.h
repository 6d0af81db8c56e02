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

/// One control VM's copy of the replicated log: drives a RaftNode with the
/// disk (group commit) and the network (gRPC between control VMs) on one thread
/// of its own. Thread safe unless said otherwise.
class Replica {
 public:
  /// Result of the command, or nothing with the reason when it is not known to
  /// be committed (it may still be).
  using ProposeDone = std::function<void(std::optional<std::string> result,
                                         const Error& error)>;
  using ReadDone = std::function<void(bool confirmed)>;

  Replica(ReplicaOptions options, ReplicaHooks hooks);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Reads the disk, replays through the hooks and starts the thread. Call
  /// once. False with the reason when the disk can not be trusted.
  bool Start(Error* error);

  /// Hands over the lead if it has it, then ends the thread.
  void Stop();

  /// Appends a command; `done` runs on the replica's thread.
  void Propose(std::string payload, ProposeDone done);

  /// Confirms by a quorum that this node leads, once everything committed
  /// before the call is applied here.
  void Read(ReadDone done);

  /// Adds a learner, makes a learner a voter, or removes a node.
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
