#ifndef CITRONLANE_STORAGE_POSIX_FILE_SYSTEM_H_
#define CITRONLANE_STORAGE_POSIX_FILE_SYSTEM_H_

#include "citronlane/storage/file_system.h"

namespace citronlane {

/// The machine's own files. The hooks are thread safe; calls on one handle are
/// not.
FileSystem PosixFileSystem();

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_POSIX_FILE_SYSTEM_H_
