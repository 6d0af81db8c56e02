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

/// Storage in the folder "data" of a disk in memory.
std::unique_ptr<ReplicaStorage> MakeStorage(MemoryDisk* disk,
                                            uint64_t incarnation = 77);

/// A snapshot with one voter, kNode.
Snapshot SnapshotAt(uint64_t index, uint64_t term);

/// Commands "entry <index>".
std::vector<Entry> Entries(uint64_t first, uint64_t count, uint64_t term);

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_STORAGE_SAMPLES_H_
