#ifndef CITRONLANE_STORAGE_SNAPSHOT_STORE_H_
#define CITRONLANE_STORAGE_SNAPSHOT_STORE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/consensus/snapshot.h"
#include "citronlane/storage/file_system.h"

namespace citronlane {

/// Reads and writes the snapshot files of one data folder. Not thread safe.
class SnapshotStore {
 public:
  /// `files` must outlive the store.
  SnapshotStore(const FileSystem& files, std::string folder);

  /// Returns once the snapshot would survive a power loss.
  bool Save(const Snapshot& snapshot, Error* error);

  /// Returns the newest snapshot, or one of index 0 when there is none. Fails
  /// with the file name in `error` when the newest one is damaged.
  std::optional<Snapshot> LoadNewest(Error* error) const;

  /// Removes the snapshots below `index` and the unfinished files that a crash
  /// left in the folder.
  bool RemoveBelow(uint64_t index, Error* error);

 private:
  const FileSystem& files_;
  const std::string folder_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_SNAPSHOT_STORE_H_
