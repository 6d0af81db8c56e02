#ifndef CITRONLANE_STORAGE_RECOVER_H_
#define CITRONLANE_STORAGE_RECOVER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/storage/file_system.h"
#include "citronlane/storage/recovery_report.h"

namespace citronlane {

/// Reads the data folder of node `id` as ReplicaStorage::Open does, without
/// changing its data, and reports what the operator has to do. Returns
/// `std::nullopt` and sets `error` when the folder belongs to another node, or
/// can not be listed or locked, for instance while another process uses it.
/// Thread safe if the hooks are.
std::optional<RecoveryReport> InspectDataFolder(const FileSystem& files,
                                                const std::string& folder,
                                                uint64_t id,
                                                Error* error);

/// Renames an untrusted folder to `report.set_aside_` and syncs its parent.
/// The VM then joins as a learner under an id that was never used. Returns
/// false and sets `error` when the report's finding is not kUntrusted or the
/// rename or sync fails. Thread safe if the hooks are.
bool SetDataFolderAside(const FileSystem& files,
                        const std::string& folder,
                        const RecoveryReport& report,
                        Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_RECOVER_H_
