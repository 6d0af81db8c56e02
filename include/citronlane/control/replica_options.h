#ifndef CITRONLANE_CONTROL_REPLICA_OPTIONS_H_
#define CITRONLANE_CONTROL_REPLICA_OPTIONS_H_

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/consensus/raft_options.h"
#include "citronlane/storage/file_system.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// Where a Replica lives and how often it compacts its log.
struct ReplicaOptions {
  RaftOptions raft_;
  /// "IP:port" the replication service listens on.
  std::string listen_;
  /// Folder for log, snapshots and identity.
  std::string data_dir_;
  /// Voters of a new cluster, "IP:port" each; ignored once the disk belongs to
  /// a cluster. A node with an empty disk that is one of them waits until all
  /// of them answer, and refuses to start anew in a cluster that already knows
  /// its id. A node that is not one of them joins when a leader adds it.
  std::map<uint64_t, std::string> initial_voters_;
  /// Between control VMs; both sides show their certificate.
  TlsFiles tls_;
  /// A file of the log is closed once it holds this much.
  uint64_t segment_bytes_ = 16 << 20;
  /// Entries, and bytes of commands, applied between two snapshots at most.
  uint64_t snapshot_interval_ = 4096;
  uint64_t snapshot_bytes_ = 64 << 20;
  /// Calls to the operating system; without hooks, the machine's own files.
  FileSystem files_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_REPLICA_OPTIONS_H_
