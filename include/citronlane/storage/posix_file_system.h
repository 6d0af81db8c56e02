#ifndef CITRONLANE_STORAGE_POSIX_FILE_SYSTEM_H_
#define CITRONLANE_STORAGE_POSIX_FILE_SYSTEM_H_

#include "citronlane/storage/file_system.h"

namespace citronlane {

/// Returns hooks that use the file system of the operating system. The hooks
/// are thread safe; calls on the same handle are not.
FileSystem PosixFileSystem();

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_POSIX_FILE_SYSTEM_H_
