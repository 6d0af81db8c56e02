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

/// Everything one control VM keeps on disk: identity, log and snapshots in one
/// data folder. After a failed call the node must stop. Not thread safe.
class ReplicaStorage {
 public:
  /// Returns a random number, not 0.
  using IncarnationHook = std::function<uint64_t()>;

  ReplicaStorage(FileSystem files,
                 std::string folder,
                 uint64_t segment_bytes,
                 IncarnationHook draw_incarnation);
  ~ReplicaStorage();
  ReplicaStorage(const ReplicaStorage&) = delete;
  ReplicaStorage& operator=(const ReplicaStorage&) = delete;

  /// Locks the folder and reads it; gives an empty one the identity `id` and a
  /// new incarnation. Refused, with file and offset where there is one, when
  /// the folder belongs to another id, or when something that was once synced
  /// is damaged or gone. Call once, before all else.
  std::optional<StoredState> Open(uint64_t id, Error* error);

  /// Stores hard state and entries as one batch with one sync. Entries replace
  /// the stored log from the first of them on.
  bool Append(const std::optional<HardState>& hard_state,
              absl::Span<const Entry> entries,
              Error* error);

  /// Stores a snapshot, then drops what it makes needless. `replaces_log` when
  /// it came from another node and no stored entry counts any more.
  bool SaveSnapshot(const Snapshot& snapshot, bool replaces_log, Error* error);

  uint64_t sync_count() const { return log_.sync_count(); }

  /// After a refused Open: whether the folder is another node's.
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
  /// Whether a snapshot was ever stored: from then on one must be there.
  bool is_member_ = false;
  bool belongs_to_other_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_REPLICA_STORAGE_H_
