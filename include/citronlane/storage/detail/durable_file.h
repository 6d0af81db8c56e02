#ifndef CITRONLANE_STORAGE_DETAIL_DURABLE_FILE_H_
#define CITRONLANE_STORAGE_DETAIL_DURABLE_FILE_H_

#include <string>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/storage/file_system.h"

namespace citronlane {

/// What a file is called until it is whole.
inline constexpr std::string_view kUnfinishedSuffix = ".new";

/// Writes a whole file beside its place, syncs it, renames it and syncs the
/// folder: after a crash it is there whole or as it was before.
bool WriteDurableFile(const FileSystem& files,
                      const std::string& folder,
                      const std::string& name,
                      std::string_view content,
                      Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_DETAIL_DURABLE_FILE_H_
