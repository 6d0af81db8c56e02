#ifndef CITRONLANE_STORAGE_DETAIL_DURABLE_FILE_H_
#define CITRONLANE_STORAGE_DETAIL_DURABLE_FILE_H_

#include <string>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/storage/file_system.h"

namespace citronlane {

/// Suffix of a file's name until all of it is written and synced.
inline constexpr std::string_view kUnfinishedSuffix = ".new";

/// Replaces a file atomically: writes and syncs a temporary file, renames it
/// and syncs the folder. After a crash the file has either its old or its new
/// content.
bool WriteDurableFile(const FileSystem& files,
                      const std::string& folder,
                      const std::string& name,
                      std::string_view content,
                      Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_DETAIL_DURABLE_FILE_H_
