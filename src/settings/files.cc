#include "citronlane/settings/files.h"

#include <sys/stat.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace citronlane {
namespace {

constexpr mode_t kPermissionsOfOthers = S_IRWXG | S_IRWXO;

std::string Message(const std::string& path, std::string_view reason) {
  return "file " + path + ": " + std::string(reason);
}

bool StatFile(const std::string& path, struct stat* info, Error* error) {
  if (stat(path.c_str(), info) != 0) {
    error->message_ = Message(path, std::generic_category().message(errno));
    return false;
  }
  if (!S_ISREG(info->st_mode)) {
    error->message_ = Message(path, "not a regular file");
    return false;
  }
  return true;
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path, Error* error) {
  struct stat info {};
  if (!StatFile(path, &info, error)) {
    return std::nullopt;
  }
  if (static_cast<size_t>(info.st_size) > kMaxFileBytes) {
    error->message_ = Message(
        path, "larger than " + std::to_string(kMaxFileBytes) + " bytes");
    return std::nullopt;
  }
  std::ifstream file(path, std::ios::binary);
  std::string text(static_cast<size_t>(info.st_size), '\0');
  if (!file.read(text.data(), static_cast<std::streamsize>(text.size()))) {
    error->message_ = Message(path, "can not be read");
    return std::nullopt;
  }
  return text;
}

bool CheckKeyFile(const std::string& path, Error* error) {
  struct stat info {};
  if (!StatFile(path, &info, error)) {
    return false;
  }
  if ((info.st_mode & kPermissionsOfOthers) != 0) {
    error->message_ = Message(
        path, "others than its owner may use it; allowed is mode 0600 or 0400");
    return false;
  }
  if (!std::ifstream(path).is_open()) {
    error->message_ = Message(path, "can not be read");
    return false;
  }
  return true;
}

std::optional<std::string> ReadKeyFile(const std::string& path, Error* error) {
  if (!CheckKeyFile(path, error)) {
    return std::nullopt;
  }
  const std::optional<std::string> text = ReadFile(path, error);
  if (!text) {
    return std::nullopt;
  }
  constexpr char kWhiteSpace[] = " \t\r\n";
  const size_t begin = text->find_first_not_of(kWhiteSpace);
  if (begin == std::string::npos) {
    error->message_ = Message(path, "empty");
    return std::nullopt;
  }
  return text->substr(begin, text->find_last_not_of(kWhiteSpace) - begin + 1);
}

std::string ResolvePath(std::string_view file, std::string_view path) {
  return (std::filesystem::path(file).parent_path() / path).string();
}

}  // namespace citronlane
