#include "citronlane/storage/recover.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

#include "citronlane/storage/replica_storage.h"

namespace citronlane {
namespace {

using Finding = RecoveryReport::Finding;

// Handle of the files that the read-only file system pretends to create.
constexpr FileSystem::Handle kNoFile = -1;

std::string ParentOf(const std::string& folder) {
  const size_t slash = folder.find_last_of('/');
  if (slash == std::string::npos) {
    return ".";
  }
  return slash == 0 ? "/" : folder.substr(0, slash);
}

std::string WithoutSlash(std::string folder) {
  while (folder.size() > 1 && folder.back() == '/') {
    folder.pop_back();
  }
  return folder;
}

std::string BaseName(const std::string& folder) {
  return folder.substr(folder.find_last_of('/') + 1);
}

// Returns hooks that read and lock by `files`; those that would change the
// folder do nothing and report success.
FileSystem ReadOnly(const FileSystem& files) {
  FileSystem read_only;
  read_only.list_ = files.list_;
  read_only.read_ = files.read_;
  read_only.lock_ = files.lock_;
  read_only.close_ = [close = files.close_](FileSystem::Handle handle) {
    if (handle != kNoFile) {
      close(handle);
    }
  };
  const auto succeed = [](const auto&...) { return true; };
  read_only.make_folder_ = succeed;
  read_only.write_ = succeed;
  read_only.sync_ = succeed;
  read_only.truncate_ = succeed;
  read_only.rename_ = succeed;
  read_only.remove_ = succeed;
  read_only.sync_folder_ = succeed;
  read_only.create_ = [](const auto&...) {
    return std::optional<FileSystem::Handle>(kNoFile);
  };
  return read_only;
}

// Returns the first path `<folder>.damaged-<number>` that does not exist.
std::optional<std::string> UnusedDamagedPath(const FileSystem& files,
                                             const std::string& folder,
                                             Error* error) {
  const std::string path = WithoutSlash(folder);
  const auto taken = files.list_(ParentOf(path), error);
  if (!taken) {
    return std::nullopt;
  }
  for (int number = 1;; ++number) {
    const std::string suffix = ".damaged-" + std::to_string(number);
    const std::string name = BaseName(path) + suffix;
    if (std::find(taken->begin(), taken->end(), name) == taken->end()) {
      return path + suffix;
    }
  }
}

bool IsEmptyFolder(const std::vector<std::string>& names) {
  return names.empty() || (names.size() == 1 && names.front() == "lock");
}

void Describe(const StoredState& state, uint64_t id, RecoveryReport* report) {
  const Snapshot& snapshot = state.snapshot_;
  report->lines_.push_back("The folder belongs to node " + std::to_string(id) +
                           ", term " + std::to_string(state.hard_state_.term_) +
                           ", vote for node " +
                           std::to_string(state.hard_state_.vote_) + ".");
  report->lines_.push_back(
      snapshot.index_ == 0
          ? "It is not yet a member of a cluster."
          : "It holds a snapshot up to entry " +
                std::to_string(snapshot.index_) + " with " +
                std::to_string(snapshot.membership_.voters_.size()) +
                " voters, and " + std::to_string(state.entries_.size()) +
                " entries after it.");
  if (state.truncation_.empty()) {
    report->finding_ = Finding::kHealthy;
    report->lines_.emplace_back("Nothing to do: the node can start.");
    return;
  }
  report->finding_ = Finding::kTornTail;
  report->lines_.push_back("The next start repairs the log by " +
                           state.truncation_ + ".");
  report->lines_.emplace_back(
      "This loses no acknowledged data: the node can start.");
}

bool DescribeUntrusted(const FileSystem& files,
                       const std::string& folder,
                       uint64_t id,
                       const std::string& reason,
                       RecoveryReport* report,
                       Error* error) {
  const auto aside = UnusedDamagedPath(files, folder, error);
  if (!aside) {
    return false;
  }
  report->finding_ = Finding::kUntrusted;
  report->set_aside_ = *aside;
  report->lines_.push_back("The folder can not be trusted: " + reason + ".");
  report->lines_.push_back("Would rename " + folder + " to " + *aside + ".");
  report->lines_.push_back(
      "After that, give this VM an id that was never used, start it with an "
      "empty folder, add it as a learner, promote it, and remove node " +
      std::to_string(id) + ".");
  report->lines_.emplace_back(
      "If no other voter has a copy of the state, stop here and keep the "
      "folder.");
  return true;
}

}  // namespace

std::optional<RecoveryReport> InspectDataFolder(const FileSystem& files,
                                                const std::string& folder,
                                                uint64_t id,
                                                Error* error) {
  RecoveryReport report;
  const auto names = files.list_(folder, error);
  if (!names) {
    return std::nullopt;
  }
  if (IsEmptyFolder(*names)) {
    report.lines_.emplace_back("The folder is empty: nothing to do.");
    return report;
  }
  // A folder in use must not be reported as damaged, so the lock is tried
  // before the data is read.
  const auto lock = files.lock_(folder, error);
  if (!lock) {
    return std::nullopt;
  }
  files.close_(*lock);
  ReplicaStorage storage(ReadOnly(files), folder,
                         std::numeric_limits<uint64_t>::max(),
                         [] { return uint64_t{1}; });
  Error reason;
  if (const auto state = storage.Open(id, &reason)) {
    Describe(*state, id, &report);
  } else if (storage.belongs_to_other()) {
    *error = reason;
    return std::nullopt;
  } else if (!DescribeUntrusted(files, folder, id, reason.message_, &report,
                                error)) {
    return std::nullopt;
  }
  return report;
}

bool SetDataFolderAside(const FileSystem& files,
                        const std::string& folder,
                        const RecoveryReport& report,
                        Error* error) {
  if (report.finding_ != Finding::kUntrusted) {
    error->message_ =
        "folder " + folder + " is not damaged and need not be set aside";
    return false;
  }
  const std::string path = WithoutSlash(folder);
  return files.rename_(path, report.set_aside_, error) &&
         files.sync_folder_(ParentOf(path), error);
}

}  // namespace citronlane
