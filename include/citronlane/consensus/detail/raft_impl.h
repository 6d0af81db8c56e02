#ifndef CITRONLANE_CONSENSUS_DETAIL_RAFT_IMPL_H_
#define CITRONLANE_CONSENSUS_DETAIL_RAFT_IMPL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/consensus/detail/lease_rounds.h"
#include "citronlane/consensus/detail/membership_history.h"
#include "citronlane/consensus/detail/progress.h"
#include "citronlane/consensus/detail/raft_log.h"
#include "citronlane/consensus/message.h"
#include "citronlane/consensus/raft_node.h"

namespace citronlane {

/// Implementation of RaftNode; each src/consensus/raft_*.cc holds one topic.
class RaftNode::Impl {
 public:
  Impl(const RaftOptions& options,
       const HardState& hard_state,
       Snapshot snapshot,
       std::vector<Entry> log,
       TimePoint now,
       RandomHook random);

  void Tick(TimePoint now);
  void Step(TimePoint now, const Message& message);
  std::optional<uint64_t> Propose(TimePoint now,
                                  std::string payload,
                                  Error* error);
  std::optional<uint64_t> ProposeMembership(TimePoint now,
                                            Membership membership,
                                            Error* error);
  bool StartRead(TimePoint now, uint64_t context, Error* error);
  void TransferLeadership(TimePoint now, uint64_t to);
  Ready TakeReady();
  void Advance(TimePoint now);
  void Compact(Snapshot snapshot);

  Role role() const;
  uint64_t term() const { return hard_state_.term_; }
  uint64_t leader() const { return leader_; }
  TimePoint lease_end() const;
  const RaftLog& log() const { return log_; }
  const MembershipHistory& memberships() const { return memberships_; }
  bool identity_lost() const { return identity_lost_; }

 private:
  struct PendingRead {
    uint64_t context_ = 0;
    /// Index that must be applied before the read is served.
    uint64_t index_ = 0;
    /// Heartbeat round that confirms it; 0 until one was started.
    uint64_t round_ = 0;
  };
  struct IncomingSnapshot {
    uint64_t from_ = 0;
    uint64_t index_ = 0;
    std::string data_;
  };

  // Defined in raft_node.cc.
  bool IsVoter(uint64_t id) const;
  bool IsLeader() const { return role_ == Role::kLeader; }
  bool IsForeignIncarnation(const Message& message) const;
  void CheckIdentity();
  void SetHardState(uint64_t term, uint64_t vote);
  void Send(Message message);
  Message Reply(const Message& to, MessageKind kind) const;
  void HandleOlderTerm(const Message& message);
  void Dispatch(const Message& message);
  bool CanPropose(Error* error) const;

  // Defined in raft_election.cc.
  void ResetElectionDeadline();
  bool HasRecentLeaderContact() const;
  void RecordLeaderContact(uint64_t leader);
  void BecomeFollower(uint64_t term, uint64_t leader);
  void BecomeLeader();
  bool MayCampaign() const;
  void Campaign();
  void StartPreVote();
  void StartElection(bool leadership_transfer);
  void RequestVotes(MessageKind kind, uint64_t term, bool leadership_transfer);
  bool HasWon() const;
  bool HasLost() const;
  void HandleVoteRequest(const Message& message);
  void HandleVoteReply(const Message& message);
  void HandleTimeoutNow();

  // Defined in raft_replication.cc.
  void ReplicateToAll();
  void Replicate(uint64_t id, Progress* progress);
  void ReplicatePipelined(uint64_t id, Progress* progress);
  size_t SendAppend(uint64_t id, Progress* progress, size_t max_entries);
  static bool IsWellFormed(const Message& append);
  void HandleAppend(const Message& message);
  void RejectAppend(const Message& message);
  void HandleAppendReply(const Message& message);
  void HandleAppendReject(Progress* progress, const Message& message);
  void MaybeCommit();

  // Defined in raft_lease.cc.
  void TickLeader();
  void BroadcastHeartbeat();
  void HandleHeartbeat(const Message& message);
  void HandleHeartbeatReply(const Message& message);
  Progress* RecordReply(const Message& message);
  TimePoint QuorumContact() const;
  void ConfirmReads();
  void MaybeFinishTransfer(uint64_t id, const Progress& progress);

  // Defined in raft_membership.cc.
  void SyncProgress();
  void StepDownIfRemoved();
  bool IsCaughtUp(uint64_t id) const;

  // Defined in raft_snapshot.cc.
  void SendSnapshotPart(uint64_t id, Progress* progress);
  void ResendLostParts();
  void HandleSnapshotPart(const Message& message);
  void HandleSnapshotReply(const Message& message);
  void InstallSnapshot(const Message& last_part);
  // Defined in raft_replication.cc.
  void AcknowledgeAppend(const Message& message, uint64_t index);

  const RaftOptions options_;
  const RandomHook random_;
  TimePoint now_;
  HardState hard_state_;
  bool hard_state_changed_ = false;
  RaftLog log_;
  MembershipHistory memberships_;
  Role role_ = Role::kFollower;
  uint64_t leader_ = 0;
  bool identity_lost_ = false;

  // Elections.
  TimePoint election_deadline_;
  /// Last message from a leader; vote requests are ignored for an election
  /// timeout after it. A restart counts as one, since the contact before it is
  /// not stored.
  TimePoint leader_contact_;
  std::map<uint64_t, bool> votes_;

  // Leader only.
  std::map<uint64_t, Progress> progress_;
  LeaseRounds rounds_;
  TimePoint elected_at_;
  TimePoint heartbeat_due_;
  std::deque<PendingRead> reads_;
  uint64_t transfer_to_ = 0;
  TimePoint transfer_deadline_;

  // Follower only.
  std::optional<IncomingSnapshot> incoming_;

  // Contents of the next Ready, and the log positions of the last one.
  std::optional<Snapshot> received_snapshot_;
  std::vector<Message> early_messages_;
  std::vector<Message> messages_;
  std::vector<std::pair<uint64_t, uint64_t>> confirmed_reads_;
  uint64_t ready_stored_index_ = 0;
  uint64_t ready_stored_term_ = 0;
  uint64_t ready_applied_index_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_DETAIL_RAFT_IMPL_H_
