#ifndef CITRONLANE_CONSENSUS_DETAIL_PROGRESS_H_
#define CITRONLANE_CONSENSUS_DETAIL_PROGRESS_H_

#include <cstdint>
#include <deque>
#include <memory>

#include "citronlane/base/time.h"
#include "citronlane/consensus/snapshot.h"

namespace citronlane {

/// What a leader knows of one other node's log.
struct Progress {
  enum class Mode {
    /// The matching position is unknown: one append at a time.
    kProbe,
    /// Appends are pipelined.
    kReplicate,
    /// The node needs entries that were compacted: a snapshot goes in parts.
    kSnapshot,
  };

  Mode mode_ = Mode::kProbe;
  /// Highest entry known to be on the node's synced disk.
  uint64_t match_ = 0;
  /// Next entry to send.
  uint64_t next_ = 1;
  /// Highest commit index told to the node.
  uint64_t sent_commit_ = 0;
  /// kProbe: an append is out and unanswered.
  bool probe_sent_ = false;
  /// kReplicate: last index of each append that is out.
  std::deque<uint64_t> inflight_;
  /// kSnapshot: what is being sent, the next part, and when it went out.
  std::shared_ptr<const Snapshot> snapshot_;
  uint64_t offset_ = 0;
  TimePoint part_sent_{};
  /// Highest round answered, and the incarnation that answered.
  uint64_t acked_round_ = 0;
  uint64_t incarnation_ = 0;

  void BecomeProbe();
  void BecomeReplicate();
  void BecomeSnapshot(std::shared_ptr<const Snapshot> snapshot);
  /// Entries up to `index` are stored at the node. Returns whether that is new.
  bool Acknowledge(uint64_t index);
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_DETAIL_PROGRESS_H_
