#include "support/memory_disk.h"

#include <utility>

namespace citronlane {

void MemoryDisk::FailAt(uint64_t call, Failure failure) {
  calls_ = 0;
  fail_at_ = call;
  failure_ = failure;
}

bool MemoryDisk::Fails(Error* error) {
  ++calls_;
  const bool hit = calls_ == fail_at_;
  is_power_cut_ = is_power_cut_ || (hit && failure_ == Failure::kPowerCut);
  if (hit || is_power_cut_) {
    error->message_ = "injected failure";
  }
  return hit || is_power_cut_;
}

std::optional<int> MemoryDisk::Create(const std::string& path, Error* error) {
  if (Fails(error)) {
    return std::nullopt;
  }
  std::shared_ptr<File>& file = folder_[path];
  if (!file) {
    file = std::make_shared<File>();
    unsynced_folders_.push_back(folder_);
  }
  file->data_.clear();
  handles_[next_handle_] = file;
  return next_handle_++;
}

bool MemoryDisk::Write(int handle, std::string_view data, Error* error) {
  const bool fails = Fails(error);
  handles_.at(handle)->data_ += fails ? data.substr(0, data.size() / 2) : data;
  return !fails;
}

bool MemoryDisk::Rename(const std::string& from,
                        const std::string& to,
                        Error* error) {
  if (Fails(error)) {
    return false;
  }
  folder_[to] = folder_.at(from);
  folder_.erase(from);
  unsynced_folders_.push_back(folder_);
  return true;
}

std::optional<std::vector<std::string>> MemoryDisk::List(
    const std::string& folder,
    Error* error) {
  if (Fails(error)) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  for (const auto& [path, file] : folder_) {
    names.push_back(path.substr(folder.size() + 1));
  }
  return names;
}

FileSystem MemoryDisk::Files() {
  FileSystem files;
  files.make_folder_ = [this](const std::string&, Error* error) {
    return !Fails(error);
  };
  files.list_ = [this](const std::string& folder, Error* error) {
    return List(folder, error);
  };
  files.read_ = [this](const std::string& path,
                       Error* error) -> std::optional<std::string> {
    if (Fails(error)) {
      return std::nullopt;
    }
    return folder_.at(path)->data_;
  };
  files.create_ = [this](const std::string& path, Error* error) {
    return Create(path, error);
  };
  files.write_ = [this](int handle, std::string_view data, Error* error) {
    return Write(handle, data, error);
  };
  files.sync_ = [this](int handle, Error* error) {
    if (Fails(error)) {
      return false;
    }
    File& file = *handles_.at(handle);
    file.synced_ = file.data_;
    return true;
  };
  files.close_ = [this](int handle) { handles_.erase(handle); };
  files.truncate_ = [this](const std::string& path, uint64_t size,
                           Error* error) {
    if (Fails(error)) {
      return false;
    }
    File& file = *folder_.at(path);
    file.data_.resize(size);
    file.synced_ = file.data_;
    return true;
  };
  files.rename_ = [this](const std::string& from, const std::string& to,
                         Error* error) { return Rename(from, to, error); };
  files.remove_ = [this](const std::string& path, Error* error) {
    if (Fails(error)) {
      return false;
    }
    folder_.erase(path);
    unsynced_folders_.push_back(folder_);
    return true;
  };
  files.sync_folder_ = [this](const std::string&, Error* error) {
    if (Fails(error)) {
      return false;
    }
    synced_folder_ = folder_;
    unsynced_folders_.clear();
    return true;
  };
  files.lock_ = [this](const std::string&, Error* error) -> std::optional<int> {
    if (Fails(error)) {
      return std::nullopt;
    }
    return 0;
  };
  return files;
}

void MemoryDisk::CutPower(const std::function<uint64_t(uint64_t)>& random) {
  const uint64_t kept = random(unsynced_folders_.size() + 1);
  folder_ = kept == 0 ? synced_folder_ : unsynced_folders_[kept - 1];
  synced_folder_ = folder_;
  unsynced_folders_.clear();
  handles_.clear();
  for (auto& [path, file] : folder_) {
    const size_t synced = file->synced_.size();
    if (file->data_.size() > synced &&
        file->data_.compare(0, synced, file->synced_) == 0) {
      // A prefix of the unsynced bytes was stored, possibly with a wrong byte
      // in it.
      file->data_.resize(synced + random(file->data_.size() - synced + 1));
      const size_t unsynced = file->data_.size() - synced;
      if (unsynced > 0 && random(2) == 0) {
        const size_t hole = synced + random(unsynced);
        file->data_[hole] = static_cast<char>(~file->data_[hole]);
      }
    } else {
      file->data_ = file->synced_;
    }
    file->synced_ = file->data_;
  }
  is_power_cut_ = false;
  fail_at_ = 0;
}

std::vector<std::string> MemoryDisk::Paths() const {
  std::vector<std::string> paths;
  for (const auto& [path, file] : folder_) {
    paths.push_back(path);
  }
  return paths;
}

std::string& MemoryDisk::Content(const std::string& path) {
  return folder_.at(path)->data_;
}

void MemoryDisk::Remove(const std::string& path) {
  folder_.erase(path);
}

}  // namespace citronlane
