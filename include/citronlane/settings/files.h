#ifndef CITRONLANE_SETTINGS_FILES_H_
#define CITRONLANE_SETTINGS_FILES_H_

#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"

namespace citronlane {

/// Largest settings or configuration file that is read.
constexpr size_t kMaxFileBytes = 16ULL * 1024 * 1024;

/// Returns the content of a regular file of at most kMaxFileBytes. Thread safe.
std::optional<std::string> ReadFile(const std::string& path, Error* error);

/// Returns the content of a file with a secret, without white space at its
/// ends. Refuses a file that others than its owner may read or write. Thread
/// safe.
std::optional<std::string> ReadKeyFile(const std::string& path, Error* error);

/// Returns whether `path` is a readable regular file that only its owner may
/// read or write. Thread safe.
bool CheckKeyFile(const std::string& path, Error* error);

/// Returns `path` itself when it is absolute, else below the folder of `file`.
/// Thread safe.
std::string ResolvePath(std::string_view file, std::string_view path);

}  // namespace citronlane

#endif  // CITRONLANE_SETTINGS_FILES_H_
