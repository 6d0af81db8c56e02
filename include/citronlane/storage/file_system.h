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

/// Every call the storage makes to the operating system, so that tests put a
/// disk in its place that writes short, fills up, fails to sync or loses power.
/// Each hook returns nothing or false, with the reason, when the call failed.
struct FileSystem {
  using Handle = int;

  /// Creates the folder if it is not there.
  std::function<bool(const std::string& folder, Error*)> make_folder_;
  /// Names of the files in a folder, sorted.
  std::function<std::optional<std::vector<std::string>>(
      const std::string& folder,
      Error*)>
      list_;
  /// Whole content of a file.
  std::function<std::optional<std::string>(const std::string& path, Error*)>
      read_;
  /// Creates an empty file for writing, or empties the one that is there.
  std::function<std::optional<Handle>(const std::string& path, Error*)> create_;
  /// Appends all of `data`.
  std::function<bool(Handle, std::string_view data, Error*)> write_;
  /// Returns once all that was written would survive a loss of power.
  std::function<bool(Handle, Error*)> sync_;
  std::function<void(Handle)> close_;
  /// Cuts the file and syncs it.
  std::function<bool(const std::string& path, uint64_t size, Error*)> cut_;
  std::function<bool(const std::string& from, const std::string& to, Error*)>
      rename_;
  std::function<bool(const std::string& path, Error*)> remove_;
  /// Makes creations, renames and removals in the folder durable.
  std::function<bool(const std::string& folder, Error*)> sync_folder_;
  /// Takes a lock on the folder that ends with the process; false when another
  /// process holds it.
  std::function<std::optional<Handle>(const std::string& folder, Error*)> lock_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_FILE_SYSTEM_H_
