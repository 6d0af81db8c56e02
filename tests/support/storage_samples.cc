#include "support/storage_samples.h"

#include <string>

#include "support/memory_disk.h"

namespace citronlane {

std::unique_ptr<ReplicaStorage> MakeStorage(MemoryDisk* disk,
                                            uint64_t incarnation) {
  return std::make_unique<ReplicaStorage>(
      disk->Files(), "data", kSegmentBytes,
      [incarnation] { return incarnation; });
}

Snapshot SnapshotAt(uint64_t index, uint64_t term) {
  Snapshot snapshot{index, term, {}, "state " + std::to_string(index)};
  snapshot.membership_.voters_[kNode] = "127.0.0.1:1";
  return snapshot;
}

std::vector<Entry> Entries(uint64_t first, uint64_t count, uint64_t term) {
  std::vector<Entry> entries;
  for (uint64_t i = first; i < first + count; ++i) {
    entries.push_back(
        Entry{i, term, EntryKind::kCommand, "entry " + std::to_string(i)});
  }
  return entries;
}

}  // namespace citronlane
