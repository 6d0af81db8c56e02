#ifndef CITRONLANE_STORAGE_SNAPSHOT_STORE_H_
#define CITRONLANE_STORAGE_SNAPSHOT_STORE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/consensus/snapshot.h"
#include "citronlane/storage/file_system.h"

namespace citronlane {

/// Snapshot files of one data folder. Not thread safe.
class SnapshotStore {
 public:
  /// `files` outlives the store.
  SnapshotStore(const FileSystem& files, std::string folder);

  /// Returns once the snapshot would survive a loss of power.
  bool Save(const Snapshot& snapshot, Error* error);

  /// The newest snapshot; index 0 when there is none. Nothing, with the file in
  /// the reason, when it is damaged.
  std::optional<Snapshot> LoadNewest(Error* error) const;

  /// Removes the snapshots below `index`, and what crashes left behind.
  bool RemoveBelow(uint64_t index, Error* error);

 private:
  const FileSystem& files_;
  const std::string folder_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_SNAPSHOT_STORE_H_
