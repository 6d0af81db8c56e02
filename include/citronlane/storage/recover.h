#ifndef CITRONLANE_STORAGE_RECOVER_H_
#define CITRONLANE_STORAGE_RECOVER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/storage/file_system.h"
#include "citronlane/storage/recovery_report.h"

namespace citronlane {

/// Reads the data folder of node `id` as a start would, without changing it,
/// and says what there is to do. Nothing and a reason when the folder is in
/// use, is another node's, or can not be read at all. Thread safe, if the hooks
/// are.
std::optional<RecoveryReport> InspectDataFolder(const FileSystem& files,
                                                const std::string& folder,
                                                uint64_t id,
                                                Error* error);

/// Does what the report of an untrusted folder says: moves it aside, durably.
/// The VM then joins as a learner under an id never used. Thread safe, if the
/// hooks are.
bool SetDataFolderAside(const FileSystem& files,
                        const std::string& folder,
                        const RecoveryReport& report,
                        Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_RECOVER_H_
