#ifndef CITRONLANE_CONTROL_REPLICA_STATUS_H_
#define CITRONLANE_CONTROL_REPLICA_STATUS_H_

#include <cstdint>
#include <string>

#include "citronlane/consensus/membership.h"
#include "citronlane/consensus/role.h"

namespace citronlane {

/// State of a Replica at one moment.
struct ReplicaStatus {
  uint64_t id_ = 0;
  Role role_ = Role::kFollower;
  uint64_t term_ = 0;
  /// Id of the known leader, or 0.
  uint64_t leader_ = 0;
  /// Whether this node holds the leader lease: a quorum replied within it.
  bool leader_lease_ = false;
  uint64_t commit_index_ = 0;
  uint64_t applied_index_ = 0;
  uint64_t last_index_ = 0;
  Membership membership_;
  /// Whether the node failed and stopped voting: its disk failed, the cluster
  /// could not be formed, or the membership records another disk for its id.
  bool failed_ = false;
  /// Reason of the failure, on one line.
  std::string failure_;
  /// Number of log syncs since the start.
  uint64_t sync_count_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_REPLICA_STATUS_H_
