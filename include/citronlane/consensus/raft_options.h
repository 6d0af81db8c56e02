#ifndef CITRONLANE_CONSENSUS_RAFT_OPTIONS_H_
#define CITRONLANE_CONSENSUS_RAFT_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "citronlane/base/time.h"

namespace citronlane {

/// Timing and size limits of one RaftNode.
struct RaftOptions {
  uint64_t id_ = 0;
  /// Random number that identifies the disk, drawn when it was first used.
  uint64_t incarnation_ = 0;
  Duration heartbeat_interval_ = std::chrono::milliseconds(50);
  /// A follower starts an election after this long without its leader, with a
  /// random addition of up to as much again.
  Duration election_timeout_ = std::chrono::milliseconds(300);
  /// A leader without replies of a quorum for this long steps down. Shorter
  /// than election_timeout_, so that there are never two acting leaders at the
  /// same time.
  Duration leader_lease_ = std::chrono::milliseconds(250);
  size_t max_entries_per_append_ = 512;
  size_t max_bytes_per_append_ = 1 << 20;
  size_t max_inflight_appends_ = 16;
  /// Maximum number and bytes of entries kept in memory that a snapshot already
  /// covers, so that a follower that lags a little needs no snapshot transfer.
  uint64_t kept_entries_ = 1024;
  size_t kept_bytes_ = 16 << 20;
  size_t snapshot_part_bytes_ = 1 << 18;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_RAFT_OPTIONS_H_
