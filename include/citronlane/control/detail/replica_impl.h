#ifndef CITRONLANE_CONTROL_DETAIL_REPLICA_IMPL_H_
#define CITRONLANE_CONTROL_DETAIL_REPLICA_IMPL_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "citronlane/consensus/raft_node.h"
#include "citronlane/control/detail/cluster_formation.h"
#include "citronlane/control/detail/pending_calls.h"
#include "citronlane/control/detail/replica_peers.h"
#include "citronlane/control/detail/snapshot_taker.h"
#include "citronlane/control/replica.h"
#include "citronlane/process/worker_thread.h"
#include "citronlane/storage/replica_storage.h"
#include "citronlane/transport/replication_server.h"

namespace citronlane {

/// Implementation of Replica. Other threads only fill the inbox and read the
/// published status; everything else belongs to the replica's thread.
class Replica::Impl {
 public:
  enum class ChangeKind { kAddLearner, kPromote, kRemove };

  Impl(ReplicaOptions options, ReplicaHooks hooks);
  ~Impl();

  bool Start(Error* error);
  void Stop();
  void Propose(std::string payload, ProposeDone done);
  void Read(ReadDone done);
  void Change(ChangeKind kind,
              uint64_t id,
              std::string address,
              ProposeDone done);
  ReplicaStatus status() const;

 private:
  struct Proposal {
    std::string payload_;
    ProposeDone done_;
  };
  struct MembershipChange {
    ChangeKind kind_ = ChangeKind::kAddLearner;
    uint64_t id_ = 0;
    std::string address_;
    ProposeDone done_;
  };
  struct Greeting {
    uint64_t round_ = 0;
    ReplicationGreeting greeting_;
  };
  struct Inbox {
    std::vector<Message> messages_;
    std::vector<Proposal> proposals_;
    std::vector<ReadDone> reads_;
    std::vector<MembershipChange> changes_;
    std::vector<Greeting> greetings_;

    bool IsEmpty() const;
  };

  // Defined in replica.cc: start, stop, and the calls of other threads.
  bool OpenDisk(Error* error);
  bool StartServer(Error* error);
  ReplicationGreeting Greet() const;
  bool Post(const std::function<void(Inbox*)>& fill);
  void Log(const std::string& line) const;

  // Defined in replica_loop.cc: loop of the replica's thread.
  void Run();
  Inbox WaitForInbox();
  void HandleInbox(Inbox inbox);
  void HandleProposals(std::vector<Proposal> proposals);
  void HandleReads(std::vector<ReadDone> reads);
  void HandleChanges(std::vector<MembershipChange> changes);
  Membership MembershipAfter(const MembershipChange& change) const;
  bool MayEndThread();
  void Fail(const std::string& reason);
  void Refuse(const Inbox& inbox, const std::string& reason);
  void PublishStatus();

  // Defined in replica_ready.cc: carrying out the RaftNode's Ready.
  void CarryOutReady();
  bool StoreReady(const Ready& ready, Error* error);
  void NotifyAppended(const std::vector<Entry>& entries);
  void Apply(const std::vector<Entry>& committed);
  void NotifyRole();

  // Defined in replica_formation.cc: formation of a new cluster.
  void StartNode(StoredState state);
  void TickFormation(const std::vector<Greeting>& greetings);
  void Form();

  ReplicaOptions options_;
  const ReplicaHooks hooks_;
  std::string own_address_;
  std::mt19937_64 random_;
  std::unique_ptr<ReplicaStorage> storage_;
  std::unique_ptr<ReplicaPeers> peers_;
  std::unique_ptr<ReplicationServer> server_;
  std::unique_ptr<RaftNode> node_;
  std::unique_ptr<ClusterFormation> formation_;
  uint64_t formation_round_ = 0;
  TimePoint next_round_;
  PendingCalls pending_;
  Role last_role_ = Role::kFollower;
  uint64_t last_term_ = 0;
  uint64_t last_appended_ = 0;
  SnapshotTaker snapshots_;
  bool transferring_leadership_ = false;
  TimePoint leadership_transfer_deadline_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  WorkerThread thread_{&mutex_, &wake_};
  Inbox inbox_;
  bool running_ = false;
  ReplicaStatus status_;
  TimePoint lease_end_;
  ReplicationGreeting greeting_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_REPLICA_IMPL_H_
