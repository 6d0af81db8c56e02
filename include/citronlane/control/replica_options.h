#ifndef CITRONLANE_CONTROL_REPLICA_OPTIONS_H_
#define CITRONLANE_CONTROL_REPLICA_OPTIONS_H_

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/consensus/raft_options.h"
#include "citronlane/storage/file_system.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// Settings of a Replica: addresses, data folder, and limits of its log.
struct ReplicaOptions {
  RaftOptions raft_;
  /// "IP:port" on which the replication service listens.
  std::string listen_;
  /// Folder for log, snapshots and identity.
  std::string data_dir_;
  /// Voters of a new cluster, "IP:port" each; ignored once the disk belongs to
  /// a cluster. A node with an empty disk that is one of them waits until all
  /// of them reply, and fails when they already belong to a cluster that does
  /// not know this disk. A node that is not one of them joins when a leader
  /// adds it.
  std::map<uint64_t, std::string> initial_voters_;
  /// For connections between control VMs, with mutual authentication.
  TlsFiles tls_;
  /// Size at which a segment file of the log is closed.
  uint64_t segment_bytes_ = 16 << 20;
  /// Maximum number of entries, and bytes of commands, applied between two
  /// snapshots.
  uint64_t snapshot_interval_ = 4096;
  uint64_t snapshot_bytes_ = 64 << 20;
  /// File system calls; without hooks, those of the operating system.
  FileSystem files_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_REPLICA_OPTIONS_H_
