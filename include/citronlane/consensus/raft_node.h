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

/// Consensus of the control VMs: a pure state machine. Messages and the passage
/// of time go in, a Ready comes out; it does no I/O, has no threads and reads
/// no clock. Not thread safe.
class RaftNode {
 public:
  /// Returns a number below its argument, which is at least 1.
  using RandomHook = std::function<uint64_t(uint64_t)>;

  /// Starts from what the disk holds: `hard_state`, the last `snapshot` (index
  /// 0 when there is none; its membership is the initial one) and the `log`
  /// after it, without gaps.
  RaftNode(const RaftOptions& options,
           const HardState& hard_state,
           Snapshot snapshot,
           std::vector<Entry> log,
           TimePoint now,
           RandomHook random);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  /// Tells that time has passed; call at least every half heartbeat interval.
  void Tick(TimePoint now);

  /// Takes a message addressed to this node.
  void Step(TimePoint now, const Message& message);

  /// Appends a command to the log. Returns its index; nothing and a reason when
  /// this node does not lead.
  std::optional<uint64_t> Propose(TimePoint now,
                                  std::string payload,
                                  Error* error);

  /// Proposes a membership that differs from the present one by one node; the
  /// leader fills in `incarnations_` and `last_id_`. Refused while another
  /// change is not yet applied, before the leader has committed an entry of its
  /// term, for a new node that is not a learner with an id above `last_id_`,
  /// and for a learner that is not caught up to become a voter.
  std::optional<uint64_t> ProposeMembership(TimePoint now,
                                            const Membership& membership,
                                            Error* error);

  /// Starts a quorum read; its context comes back in Ready::confirmed_reads_.
  /// Refused when this node does not lead or has committed nothing in its term.
  bool StartRead(TimePoint now, uint64_t context, Error* error);

  /// Asks the voter `to`, or with 0 the one with the longest log, to take over
  /// the lead (graceful stop of a leader). The lease ends at once.
  void TransferLeadership(TimePoint now, uint64_t to);

  /// Hands over all pending work; call Advance once it has been carried out.
  Ready TakeReady();

  /// Tells that the last Ready was carried out: its entries are on synced disk
  /// and its committed entries applied. No other call than the getters comes
  /// between TakeReady and Advance.
  void Advance(TimePoint now);

  /// Drops the log up to the snapshot's index, which must have been applied.
  void Compact(Snapshot snapshot);

  Role role() const;
  uint64_t term() const;
  /// Known leader's id, or 0.
  uint64_t leader() const;
  /// Whether this node leads and a quorum answered within the leader lease.
  bool HasLeaderLease(TimePoint now) const;
  /// When the leader lease ends unless a quorum answers again; the clock's
  /// epoch when there is none.
  TimePoint lease_end() const;
  uint64_t commit_index() const;
  uint64_t applied_index() const;
  uint64_t last_index() const;
  /// Membership in force: the newest in the log.
  const Membership& membership() const;
  /// Membership in force at `index`, which is at or above the last snapshot.
  const Membership& membership_at(uint64_t index) const;
  /// Term of the entry at `index`; 0 when it is not in the log (any more).
  uint64_t TermAt(uint64_t index) const;
  /// Whether the cluster knows this node's id with another disk's incarnation.
  /// Such a node does nothing any more: it must join anew under a new id.
  bool identity_lost() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_RAFT_NODE_H_
