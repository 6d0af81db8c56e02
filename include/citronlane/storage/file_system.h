#ifndef CITRONLANE_STORAGE_FILE_SYSTEM_H_
#define CITRONLANE_STORAGE_FILE_SYSTEM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/error.h"

namespace citronlane {

/// The operations that the storage module needs from a file system. Tests
/// replace them to simulate short writes, a full disk, failed syncs and power
/// loss. Unless noted otherwise, a hook that fails returns `std::nullopt` or
/// false and sets the error. All hooks must be set.
struct FileSystem {
  using Handle = int;

  /// Creates the folder and its parents unless they exist.
  std::function<bool(const std::string& folder, Error*)> make_folder_;
  /// Names of the files in a folder, sorted.
  std::function<std::optional<std::vector<std::string>>(
      const std::string& folder,
      Error*)>
      list_;
  /// Full content of a file.
  std::function<std::optional<std::string>(const std::string& path, Error*)>
      read_;
  /// Creates an empty file for appending; truncates an existing one.
  std::function<std::optional<Handle>(const std::string& path, Error*)> create_;
  /// Appends all of `data`.
  std::function<bool(Handle, std::string_view data, Error*)> write_;
  /// Returns once all data written to the handle would survive a power loss.
  std::function<bool(Handle, Error*)> sync_;
  std::function<void(Handle)> close_;
  /// Truncates the file to `size` bytes and syncs it.
  std::function<bool(const std::string& path, uint64_t size, Error*)> truncate_;
  /// Replaces an existing file `to`; durable after `sync_folder_`.
  std::function<bool(const std::string& from, const std::string& to, Error*)>
      rename_;
  std::function<bool(const std::string& path, Error*)> remove_;
  /// Makes creations, renames and removals in the folder durable.
  std::function<bool(const std::string& folder, Error*)> sync_folder_;
  /// Takes an exclusive lock on the folder, held until the handle is closed or
  /// the process ends. Fails when another process holds it.
  std::function<std::optional<Handle>(const std::string& folder, Error*)> lock_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_FILE_SYSTEM_H_
