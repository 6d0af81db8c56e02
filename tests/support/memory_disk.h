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

/// A disk in memory that keeps only what was synced. Power can be cut, and any
/// call made to fail, at a counted call. Not thread safe.
class MemoryDisk {
 public:
  enum class Failure {
    /// The call and all after it fail; a write may have got part of its bytes.
    kPowerCut,
    /// Only that call fails.
    kError,
  };

  /// Hooks that work on this disk, which outlives them.
  FileSystem Files();

  /// Makes the call number `call`, counted from 1 from now on, fail.
  void FailAt(uint64_t call, Failure failure);
  /// Calls since the last FailAt or since the beginning.
  uint64_t calls() const { return calls_; }

  /// Loses what was not synced, but for a random part; `random` returns a
  /// number below its argument. Faults end.
  void CutPower(const std::function<uint64_t(uint64_t)>& random);

  /// Names of the files in no particular folder, sorted.
  std::vector<std::string> Paths() const;
  std::string& Content(const std::string& path);
  void Remove(const std::string& path);

 private:
  struct File {
    std::string data_;
    /// What would survive.
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
  /// Each change of the folder since it was synced: the state after it.
  Folder synced_folder_;
  std::vector<Folder> unsynced_folders_;
  std::map<int, std::shared_ptr<File>> handles_;
  int next_handle_ = 1;
  uint64_t calls_ = 0;
  uint64_t fail_at_ = 0;
  Failure failure_ = Failure::kError;
  bool dead_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_MEMORY_DISK_H_
