#ifndef CITRONLANE_SETTINGS_FILES_H_
#define CITRONLANE_SETTINGS_FILES_H_

#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"

namespace citronlane {

/// Largest settings or configuration file that is read.
constexpr size_t kMaxFileBytes = 16ULL * 1024 * 1024;

/// Returns the content of a regular file of at most kMaxFileBytes;
/// `std::nullopt` with the path and the reason in `error` on failure. Thread
/// safe.
std::optional<std::string> ReadFile(const std::string& path, Error* error);

/// Returns the content of a secret file without leading and trailing white
/// space. Fails as ReadFile does, when the content is empty, and when users
/// other than the owner have any permission on the file. Thread safe.
std::optional<std::string> ReadKeyFile(const std::string& path, Error* error);

/// Returns whether `path` is a readable regular file on which only the owner
/// has permissions; sets `error` if not. Thread safe.
bool CheckKeyFile(const std::string& path, Error* error);

/// Returns `path` if it is absolute, else `path` relative to the folder of
/// `file`. Thread safe.
std::string ResolvePath(std::string_view file, std::string_view path);

}  // namespace citronlane

#endif  // CITRONLANE_SETTINGS_FILES_H_
