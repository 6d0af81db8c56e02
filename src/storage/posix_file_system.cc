#include "citronlane/storage/posix_file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace citronlane {
namespace {

namespace fs = std::filesystem;

constexpr mode_t kFileMode = 0600;

void SetError(Error* error, std::string_view action, const std::string& path) {
  const std::error_code code(errno, std::generic_category());
  error->message_ = std::string(action) + " " + path + ": " + code.message();
}

void SetError(Error* error,
              std::string_view action,
              const std::string& path,
              const std::error_code& code) {
  error->message_ = std::string(action) + " " + path + ": " + code.message();
}

bool MakeFolder(const std::string& folder, Error* error) {
  std::error_code code;
  fs::create_directories(folder, code);
  if (code) {
    SetError(error, "can not create folder", folder, code);
    return false;
  }
  return true;
}

std::optional<std::vector<std::string>> List(const std::string& folder,
                                             Error* error) {
  std::error_code code;
  std::vector<std::string> names;
  for (const auto& item : fs::directory_iterator(folder, code)) {
    names.push_back(item.path().filename().string());
  }
  if (code) {
    SetError(error, "can not list folder", folder, code);
    return std::nullopt;
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::optional<std::string> Read(const std::string& path, Error* error) {
  std::ifstream file(path, std::ios::binary);
  std::string content{std::istreambuf_iterator<char>(file),
                      std::istreambuf_iterator<char>()};
  if (!file) {
    SetError(error, "can not read", path);
    return std::nullopt;
  }
  return content;
}

std::optional<int> Create(const std::string& path, Error* error) {
  const int handle =
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
             kFileMode);
  if (handle < 0) {
    SetError(error, "can not create", path);
    return std::nullopt;
  }
  return handle;
}

bool Write(int handle, std::string_view data, Error* error) {
  while (!data.empty()) {
    const ssize_t written = ::write(handle, data.data(), data.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      SetError(error, "can not write", "file");
      return false;
    }
    data.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

bool Sync(int handle, Error* error) {
  if (::fdatasync(handle) != 0) {
    SetError(error, "can not sync", "file");
    return false;
  }
  return true;
}

// Opens a file or folder, calls `action` with the descriptor and closes it.
// `action` leaves the reason of a failure in errno.
bool WithOpenFile(const std::string& path,
                  int flags,
                  const std::function<bool(int)>& action,
                  Error* error) {
  const int handle = ::open(path.c_str(), flags | O_CLOEXEC);
  if (handle < 0) {
    SetError(error, "can not open", path);
    return false;
  }
  const bool done = action(handle);
  if (!done) {
    SetError(error, "can not sync", path);
  }
  ::close(handle);
  return done;
}

bool Truncate(const std::string& path, uint64_t size, Error* error) {
  return WithOpenFile(
      path, O_WRONLY,
      [size](int handle) {
        return ::ftruncate(handle, static_cast<off_t>(size)) == 0 &&
               ::fsync(handle) == 0;
      },
      error);
}

bool SyncFolder(const std::string& folder, Error* error) {
  return WithOpenFile(
      folder, O_RDONLY | O_DIRECTORY,
      [](int handle) { return ::fsync(handle) == 0; }, error);
}

bool Rename(const std::string& from, const std::string& to, Error* error) {
  std::error_code code;
  fs::rename(from, to, code);
  if (code) {
    SetError(error, "can not rename", from, code);
  }
  return !code;
}

bool Remove(const std::string& path, Error* error) {
  std::error_code code;
  fs::remove(path, code);
  if (code) {
    SetError(error, "can not remove", path, code);
  }
  return !code;
}

std::optional<int> Lock(const std::string& folder, Error* error) {
  const std::string path = folder + "/lock";
  const int handle =
      ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (handle < 0) {
    SetError(error, "can not create", path);
    return std::nullopt;
  }
  if (::flock(handle, LOCK_EX | LOCK_NB) != 0) {
    error->message_ = "another process uses " + folder;
    ::close(handle);
    return std::nullopt;
  }
  return handle;
}

}  // namespace

FileSystem PosixFileSystem() {
  FileSystem files;
  files.make_folder_ = MakeFolder;
  files.list_ = List;
  files.read_ = Read;
  files.create_ = Create;
  files.write_ = Write;
  files.sync_ = Sync;
  files.close_ = [](int handle) { ::close(handle); };
  files.truncate_ = Truncate;
  files.rename_ = Rename;
  files.remove_ = Remove;
  files.sync_folder_ = SyncFolder;
  files.lock_ = Lock;
  return files;
}

}  // namespace citronlane
