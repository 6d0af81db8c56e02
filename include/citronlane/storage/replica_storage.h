#ifndef CITRONLANE_STORAGE_REPLICA_STORAGE_H_
#define CITRONLANE_STORAGE_REPLICA_STORAGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "absl/types/span.h"
#include "citronlane/base/error.h"
#include "citronlane/storage/file_system.h"
#include "citronlane/storage/snapshot_store.h"
#include "citronlane/storage/stored_state.h"
#include "citronlane/storage/write_ahead_log.h"

namespace citronlane {

/// Durable state of one control VM: node identity, Raft log and snapshots in
/// one data folder. It is not a general store: gateways keep nothing here, and
/// the content of entries and snapshots is opaque to it.
///
/// After a failed call the node must stop. Not thread safe.
class ReplicaStorage {
 public:
  /// Returns a random number, not 0.
  using IncarnationHook = std::function<uint64_t()>;

  /// `segment_bytes` is the size at which a log segment is closed;
  /// `draw_incarnation` is called when an empty folder is first opened.
  ReplicaStorage(FileSystem files,
                 std::string folder,
                 uint64_t segment_bytes,
                 IncarnationHook draw_incarnation);
  ~ReplicaStorage();
  ReplicaStorage(const ReplicaStorage&) = delete;
  ReplicaStorage& operator=(const ReplicaStorage&) = delete;

  /// Locks the folder, creating it if needed, and reads it. An empty folder
  /// gets the identity `id` and a new incarnation. Fails when the folder is
  /// locked by another process or belongs to another id, and when data that was
  /// once synced is damaged or missing; `error` then names the file or folder,
  /// and the offset of damage in the log. Must be called once, before the other
  /// methods.
  std::optional<StoredState> Open(uint64_t id, Error* error);

  /// Stores hard state and entries as one batch with one sync. The stored log
  /// is truncated before the first of `entries`, which have consecutive
  /// indexes.
  bool Append(const std::optional<HardState>& hard_state,
              absl::Span<const Entry> entries,
              Error* error);

  /// Stores a snapshot, then removes the older snapshots and the log segments
  /// that it covers. `replaces_log` must be set when the snapshot came from
  /// another node and the entries stored here are void.
  bool SaveSnapshot(const Snapshot& snapshot, bool replaces_log, Error* error);

  /// Number of syncs of the log, including failed ones.
  uint64_t sync_count() const { return log_.sync_count(); }

  /// After a failed Open: whether the folder belongs to another node.
  bool belongs_to_other() const { return belongs_to_other_; }

 private:
  bool OpenIdentity(Error* error);
  bool SaveIdentity(Error* error);
  bool Reconcile(const RecoveredLog& log,
                 const Snapshot& snapshot,
                 Error* error);

  const FileSystem files_;
  const std::string folder_;
  const IncarnationHook draw_incarnation_;
  WriteAheadLog log_;
  SnapshotStore snapshots_;
  std::optional<FileSystem::Handle> lock_;
  uint64_t id_ = 0;
  uint64_t incarnation_ = 0;
  /// Whether a snapshot was ever stored. If so, a missing snapshot is an error.
  bool is_member_ = false;
  bool belongs_to_other_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_REPLICA_STORAGE_H_
