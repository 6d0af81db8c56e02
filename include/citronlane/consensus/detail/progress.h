#ifndef CITRONLANE_CONSENSUS_DETAIL_PROGRESS_H_
#define CITRONLANE_CONSENSUS_DETAIL_PROGRESS_H_

#include <cstdint>
#include <deque>
#include <memory>

#include "citronlane/base/time.h"
#include "citronlane/consensus/snapshot.h"

namespace citronlane {

/// Replication state that a leader keeps for one other node.
struct Progress {
  enum class Mode {
    /// The matching position is unknown: one append is sent at a time.
    kProbe,
    /// Appends are pipelined.
    kReplicate,
    /// The node needs entries that were compacted: a snapshot is sent in parts.
    kSnapshot,
  };

  Mode mode_ = Mode::kProbe;
  /// Highest entry known to be synced to the node's disk.
  uint64_t match_ = 0;
  /// Next entry to send.
  uint64_t next_ = 1;
  /// Highest commit index sent to the node by an append.
  uint64_t sent_commit_ = 0;
  /// kProbe: an append was sent and has no reply yet.
  bool probe_sent_ = false;
  /// kReplicate: last index of each append in flight.
  std::deque<uint64_t> inflight_;
  /// kSnapshot: the snapshot being sent, the offset of the current part, and
  /// when that part was sent.
  std::shared_ptr<const Snapshot> snapshot_;
  uint64_t offset_ = 0;
  TimePoint part_sent_{};
  /// Highest heartbeat round that the node replied to, and the disk incarnation
  /// in its last reply.
  uint64_t acked_round_ = 0;
  uint64_t incarnation_ = 0;

  void BecomeProbe();
  void BecomeReplicate();
  void BecomeSnapshot(std::shared_ptr<const Snapshot> snapshot);
  /// Records that the node stored the entries up to `index`. Returns whether
  /// `match_` advanced.
  bool Acknowledge(uint64_t index);
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_DETAIL_PROGRESS_H_
