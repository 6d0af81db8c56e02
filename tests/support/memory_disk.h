#ifndef CITRONLANE_TESTS_SUPPORT_MEMORY_DISK_H_
#define CITRONLANE_TESTS_SUPPORT_MEMORY_DISK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "citronlane/storage/file_system.h"

namespace citronlane {

/// A disk in memory that keeps only synced data when power is cut. Any call of
/// its hooks can be made to fail, chosen by its number. Not thread safe.
class MemoryDisk {
 public:
  enum class Failure {
    /// The call and all later ones fail until CutPower; a write may have stored
    /// a prefix of its data.
    kPowerCut,
    /// Only the call itself fails.
    kError,
  };

  /// Returns hooks that use this disk, which must outlive them.
  FileSystem Files();

  /// Makes the call number `call` fail, counted from 1 from now on.
  void FailAt(uint64_t call, Failure failure);
  /// Number of calls since the last FailAt, or since construction.
  uint64_t calls() const { return calls_; }

  /// Loses unsynced data except for a random part of it and ends failures.
  /// `random` must return a number below its argument.
  void CutPower(const std::function<uint64_t(uint64_t)>& random);

  /// Paths of all files, sorted.
  std::vector<std::string> Paths() const;
  std::string& Content(const std::string& path);
  void Remove(const std::string& path);

 private:
  struct File {
    std::string data_;
    /// Content that would survive a power loss.
    std::string synced_;
  };
  using Folder = std::map<std::string, std::shared_ptr<File>>;

  bool Fails(Error* error);
  std::optional<int> Create(const std::string& path, Error* error);
  bool Write(int handle, std::string_view data, Error* error);
  bool Rename(const std::string& from, const std::string& to, Error* error);
  std::optional<std::vector<std::string>> List(const std::string& folder,
                                               Error* error);

  Folder folder_;
  Folder synced_folder_;
  /// State of the folder after each change since it was synced.
  std::vector<Folder> unsynced_folders_;
  std::map<int, std::shared_ptr<File>> handles_;
  int next_handle_ = 1;
  uint64_t calls_ = 0;
  uint64_t fail_at_ = 0;
  Failure failure_ = Failure::kError;
  bool is_power_cut_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_MEMORY_DISK_H_
