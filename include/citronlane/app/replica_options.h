#ifndef CITRONLANE_APP_REPLICA_OPTIONS_H_
#define CITRONLANE_APP_REPLICA_OPTIONS_H_

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/consensus/raft_options.h"

namespace citronlane {

/// Where a Replica lives and how often it compacts its log.
struct ReplicaOptions {
  RaftOptions raft_;
  /// "IP:port" the replication service listens on.
  std::string listen_;
  /// Folder for log, snapshots and identity.
  std::string data_dir_;
  /// Voters of a new cluster; ignored once the disk holds a membership.
  std::map<uint64_t, std::string> initial_voters_;
  /// Entries applied between two snapshots.
  uint64_t snapshot_interval_ = 4096;
};

}  // namespace citronlane

#endif  // CITRONLANE_APP_REPLICA_OPTIONS_H_
