#ifndef CITRONLANE_TESTS_SUPPORT_STORAGE_SAMPLES_H_
#define CITRONLANE_TESTS_SUPPORT_STORAGE_SAMPLES_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "citronlane/storage/replica_storage.h"

namespace citronlane {

class MemoryDisk;

inline constexpr uint64_t kNode = 3;
inline constexpr uint64_t kSegmentBytes = 600;

/// Returns a storage in the folder "data" of the disk.
std::unique_ptr<ReplicaStorage> MakeStorage(MemoryDisk* disk,
                                            uint64_t incarnation = 77);

/// Returns a snapshot with one voter, kNode, and the data "state <index>".
Snapshot SnapshotAt(uint64_t index, uint64_t term);

/// Returns entries with consecutive indexes and the commands "entry <index>".
std::vector<Entry> Entries(uint64_t first, uint64_t count, uint64_t term);

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_STORAGE_SAMPLES_H_
