#ifndef CITRONLANE_CONTROL_REPLICA_STATUS_H_
#define CITRONLANE_CONTROL_REPLICA_STATUS_H_

#include <cstdint>
#include <string>

#include "citronlane/consensus/membership.h"
#include "citronlane/consensus/role.h"

namespace citronlane {

/// What a Replica knows of itself at one moment.
struct ReplicaStatus {
  uint64_t id_ = 0;
  Role role_ = Role::kFollower;
  uint64_t term_ = 0;
  /// Known leader, or 0.
  uint64_t leader_ = 0;
  /// Whether a quorum answered within the leader lease.
  bool leader_lease_ = false;
  uint64_t commit_index_ = 0;
  uint64_t applied_index_ = 0;
  uint64_t last_index_ = 0;
  Membership membership_;
  /// Set when the disk failed and the node stopped voting.
  bool failed_ = false;
  /// One line that says why.
  std::string failure_;
  /// Syncs of the log since the start.
  uint64_t sync_count_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_REPLICA_STATUS_H_
