#ifndef CITRONLANE_CONTROL_REPLICA_DRIVER_H_
#define CITRONLANE_CONTROL_REPLICA_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "citronlane/base/error.h"
#include "citronlane/consensus/raft_node.h"
#include "citronlane/control/detail/pending_calls.h"
#include "citronlane/control/detail/snapshot_taker.h"
#include "citronlane/storage/file_system.h"
#include "citronlane/storage/stored_state.h"

namespace citronlane {

class ReplicaStorage;
struct MembershipStep;

/// One control VM's copy of the replicated log: drives a RaftNode with a
/// ReplicaStorage on an event loop instead of a thread of its own. A disk that
/// stalls stalls the complete process, so that a leader with a bad disk loses
/// the leadership as it should. Messages to other nodes are sent by a hook. All
/// calls and hooks on one thread.
class ReplicaDriver {
 public:
  struct Options {
    RaftOptions raft_;
    std::string data_dir_;
    uint64_t segment_bytes_ = 4 << 20;
    /// Maximum number of entries, and bytes of commands, applied between two
    /// snapshots.
    uint64_t snapshot_interval_ = 512;
    uint64_t snapshot_bytes_ = 8 << 20;
    FileSystem files_;
  };
  /// `send_` sends a message to the node Message::to_; the others are as in
  /// ReplicaHooks. None may be empty or call a non-const method of the driver.
  struct Hooks {
    std::function<void(Message message)> send_;
    std::function<std::string(const std::string& command)> apply_;
    std::function<std::string()> take_snapshot_;
    std::function<void(const std::string& snapshot)> install_snapshot_;
    std::function<void(Role role, uint64_t term)> role_changed_;
  };

  ReplicaDriver(Options options, Hooks hooks);
  ~ReplicaDriver();
  ReplicaDriver(const ReplicaDriver&) = delete;
  ReplicaDriver& operator=(const ReplicaDriver&) = delete;

  /// Reads the disk and starts the node if the disk holds a cluster. Returns
  /// false and sets `error` when the disk can not be read or written now; no
  /// other call is allowed then. Call once, before all others.
  bool Open(Error* error);

  /// Whether the node belongs to a cluster. Otherwise it does nothing until
  /// Form or Join is called.
  bool is_formed() const { return node_ != nullptr; }
  /// Starts a new cluster with these voters (address by id) and the
  /// incarnations of their disks. Returns false and sets `error` when the disk
  /// fails. Precondition: opened, and not formed.
  bool Form(const std::map<uint64_t, std::string>& voters,
            const std::map<uint64_t, uint64_t>& incarnations,
            TimePoint now,
            Error* error);
  /// Starts the node after the leader has added it as a learner. Precondition:
  /// opened, and not formed.
  void Join(TimePoint now);

  /// Passes a message or the current time to the RaftNode, then carries out its
  /// Ready: stores, sends and applies.
  void Step(TimePoint now, const Message& message);
  void Tick(TimePoint now);

  /// Appends a command. `done` gets its result, or nullopt when it is not known
  /// to be committed; it may run within this call.
  void Propose(TimePoint now, std::string command, Replica::ProposeDone done);
  /// Starts a linearizable read: `done` gets true once a quorum has confirmed
  /// this node as leader and everything committed before the call is applied.
  void Read(TimePoint now, Replica::ReadDone done);
  /// Proposes a change of the membership. Returns false and sets `error` when
  /// it is refused.
  bool Change(TimePoint now, const MembershipStep& step, Error* error);
  /// Transfers the leadership to another voter if this node has it.
  void TransferLeadership(TimePoint now);

  /// Reason why the disk failed; empty while it has not. After a failure the
  /// driver does nothing more; construct another one to read the disk again.
  const std::string& failure() const { return failure_; }

  uint64_t id() const { return options_.raft_.id_; }
  uint64_t incarnation() const { return options_.raft_.incarnation_; }
  /// Precondition: is_formed().
  const RaftNode& node() const { return *node_; }
  /// Disk incarnations of the voters by node id; empty while not formed.
  std::map<uint64_t, uint64_t> voter_incarnations() const;

 private:
  void StartNode(StoredState state, TimePoint now);
  void CarryOutReady(TimePoint now);
  bool StoreReady(const Ready& ready, Error* error);
  void Apply(const std::vector<Entry>& committed);
  void SnapshotWhenQuiet(TimePoint now);
  void NotifyRole();
  void Fail(const std::string& reason);

  Options options_;
  const Hooks hooks_;
  std::mt19937_64 random_;
  std::unique_ptr<ReplicaStorage> storage_;
  std::optional<StoredState> stored_;
  std::unique_ptr<RaftNode> node_;
  PendingCalls pending_;
  Role last_role_ = Role::kFollower;
  uint64_t last_term_ = 0;
  SnapshotTaker snapshots_;
  TimePoint last_command_;
  std::string failure_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_REPLICA_DRIVER_H_
