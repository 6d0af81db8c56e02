#ifndef CITRONLANE_CONSENSUS_RAFT_NODE_H_
#define CITRONLANE_CONSENSUS_RAFT_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/error.h"
#include "citronlane/base/time.h"
#include "citronlane/consensus/hard_state.h"
#include "citronlane/consensus/membership.h"
#include "citronlane/consensus/raft_options.h"
#include "citronlane/consensus/ready.h"
#include "citronlane/consensus/role.h"
#include "citronlane/consensus/snapshot.h"

namespace citronlane {

/// Raft consensus among the control VMs, as a pure state machine: the driver
/// passes in messages and the current time and carries out the Ready that it
/// returns. It does no I/O, starts no threads and reads no clock; storage,
/// transport and the replicated state machine are the driver's. Not thread
/// safe.
///
/// Every `now` comes from one monotonic clock and never decreases.
class RaftNode {
 public:
  /// Returns a random number below its argument, which is at least 1.
  using RandomHook = std::function<uint64_t(uint64_t)>;

  /// Starts from the state on disk: `hard_state`, the last `snapshot` (index 0
  /// when there is none; its membership is the initial one) and the `log` after
  /// it, without gaps.
  RaftNode(const RaftOptions& options,
           const HardState& hard_state,
           Snapshot snapshot,
           std::vector<Entry> log,
           TimePoint now,
           RandomHook random);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /// Advances the node's clock: sends heartbeats, starts elections, ends leases
  /// and transfers that timed out. Call at least every half heartbeat interval.
  void Tick(TimePoint now);

  /// Processes a message received from a peer. Messages for another node id, or
  /// from a sender whose disk incarnation is not the recorded one, are ignored.
  void Step(TimePoint now, const Message& message);

  /// Appends a command to the log. Returns its index, or nullopt with `error`
  /// set when this node is not the leader or is transferring the leadership. An
  /// entry of that index may still be replaced until it is committed.
  std::optional<uint64_t> Propose(TimePoint now,
                                  std::string payload,
                                  Error* error);

  /// Proposes a membership that differs from the current one by one node; the
  /// leader fills in `incarnations_` and `last_id_`. Returns the index of its
  /// entry, or nullopt with `error` set: when Propose would fail, while another
  /// change is not yet applied, before the leader has committed an entry of its
  /// term, when a new node is not a learner with an id above `last_id_`, and
  /// when a learner to be promoted has not caught up.
  std::optional<uint64_t> ProposeMembership(TimePoint now,
                                            const Membership& membership,
                                            Error* error);

  /// Starts a linearizable read: once a quorum has confirmed the leadership,
  /// `context` is returned in Ready::confirmed_reads_; it never is when the
  /// leadership is lost first. Returns false and sets `error` when Propose
  /// would fail or the leader has committed nothing in its term.
  bool StartRead(TimePoint now, uint64_t context, Error* error);

  /// Transfers the leadership to the voter `to`, or with 0 to the one with the
  /// longest log, for the graceful stop of a leader. The lease ends immediately
  /// and proposals are refused from then on; without a new leader within an
  /// election timeout this node steps down. Does nothing when this node is not
  /// the leader, a transfer is in progress or `to` is not another voter.
  void TransferLeadership(TimePoint now, uint64_t to);

  /// Returns all pending work; call Advance once it has been carried out.
  Ready TakeReady();

  /// Confirms that the last Ready was carried out: its entries are synced to
  /// disk and its committed entries are applied. Only the getters may be called
  /// between TakeReady and Advance.
  void Advance(TimePoint now);

  /// Replaces the last snapshot by a newer one of applied entries and drops the
  /// log entries up to it, except for those that RaftOptions keeps.
  void Compact(Snapshot snapshot);

  Role role() const;
  uint64_t term() const;
  /// Id of the known leader, or 0.
  uint64_t leader() const;
  /// Whether this node is the leader and a quorum replied within the leader
  /// lease.
  bool HasLeaderLease(TimePoint now) const;
  /// Time at which the leader lease ends unless a quorum replies again; the
  /// clock's epoch when there is no lease.
  TimePoint lease_end() const;
  uint64_t commit_index() const;
  uint64_t applied_index() const;
  uint64_t last_index() const;
  /// Membership in force: the newest in the log, committed or not.
  const Membership& membership() const;
  /// Membership in force at `index`, which is at or above the last snapshot.
  const Membership& membership_at(uint64_t index) const;
  /// Term of the entry at `index`; 0 when it is not, or no longer, in the log.
  uint64_t TermAt(uint64_t index) const;
  /// Whether the membership records another disk incarnation for this node's
  /// id. Such a node ignores ticks and messages; it must join again under a new
  /// id.
  bool identity_lost() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_RAFT_NODE_H_
