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

/// One control VM's copy of the replicated log, driven by an event loop instead
/// of threads: a disk that stalls stalls the whole process, so that a leader
/// with a bad disk loses the lead as it should. Reuses RaftNode and
/// ReplicaStorage. All calls and hooks on one thread.
class ReplicaDriver {
 public:
  struct Options {
    RaftOptions raft_;
    std::string data_dir_;
    uint64_t segment_bytes_ = 4 << 20;
    /// Entries, and bytes of commands, applied between two snapshots at most.
    uint64_t snapshot_interval_ = 512;
    uint64_t snapshot_bytes_ = 8 << 20;
    FileSystem files_;
  };
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

  /// Reads the disk. False with the reason when it can't be read or written
  /// now; the driver is of no use then. Call once, first.
  bool Open(Error* error);

  /// Whether the disk holds a cluster. Without one the node is inert until
  /// Form or Join is called.
  bool is_formed() const { return node_ != nullptr; }
  /// Begins a cluster with these voters (address by id) and the incarnations of
  /// their disks.
  bool Form(const std::map<uint64_t, std::string>& voters,
            const std::map<uint64_t, uint64_t>& incarnations,
            TimePoint now,
            Error* error);
  /// Starts as a node that the leader has taken in as a learner.
  void Join(TimePoint now);

  /// Takes a message or the passage of time, then carries out what follows:
  /// stores, sends, applies.
  void Step(TimePoint now, const Message& message);
  void Tick(TimePoint now);

  /// `done` gets the command's result, or nothing when it is not known to be
  /// committed.
  void Propose(TimePoint now, std::string command, Replica::ProposeDone done);
  /// Confirms by a quorum that this node leads and has applied everything that
  /// was committed before the call.
  void Read(TimePoint now, Replica::ReadDone done);
  /// Proposes a change of the membership; false with a reason when refused.
  bool Change(TimePoint now, const MembershipStep& step, Error* error);
  /// Hands the lead over, if it has it.
  void HandOver(TimePoint now);

  /// Not empty once a call on the disk failed: the driver does nothing more and
  /// has to be made anew from the disk.
  const std::string& failure() const { return failure_; }

  uint64_t id() const { return options_.raft_.id_; }
  uint64_t incarnation() const { return options_.raft_.incarnation_; }
  /// The rest only while formed.
  const RaftNode& node() const { return *node_; }
  /// Incarnations of the voters; empty when there are none.
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
