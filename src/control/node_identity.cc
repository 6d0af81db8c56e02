#include "citronlane/control/node_identity.h"

#include <charconv>
#include <filesystem>
#include <string_view>
#include <system_error>

namespace citronlane {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view kFounder = "founder-";
constexpr std::string_view kMember = "member-";

std::optional<NodeIdentity> ParseName(std::string_view name) {
  NodeIdentity identity;
  if (name.substr(0, kFounder.size()) == kFounder) {
    identity.is_founder_ = true;
    name.remove_prefix(kFounder.size());
  } else if (name.substr(0, kMember.size()) == kMember) {
    name.remove_prefix(kMember.size());
  } else {
    return std::nullopt;
  }
  const char* const end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data(), end, identity.id_);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return identity;
}

}  // namespace

std::string NodeIdentity::Folder(const std::string& data_dir) const {
  return data_dir + "/" + std::string(is_founder_ ? kFounder : kMember) +
         std::to_string(id_);
}

std::optional<NodeIdentity> NodeIdentity::Find(const std::string& data_dir,
                                               Error* error) {
  std::optional<NodeIdentity> newest;
  std::error_code failure;
  fs::directory_iterator entry(data_dir, failure);
  for (; !failure && entry != fs::directory_iterator();
       entry.increment(failure)) {
    const auto identity = ParseName(entry->path().filename().string());
    if (identity && (!newest || identity->id_ > newest->id_)) {
      newest = identity;
    }
  }
  if (failure && failure != std::errc::no_such_file_or_directory) {
    error->message_ = "can not list " + data_dir + ": " + failure.message();
  }
  return newest;
}

bool NodeIdentity::RemoveAll(const std::string& data_dir, Error* error) {
  std::error_code failure;
  fs::directory_iterator entry(data_dir, failure);
  for (; !failure && entry != fs::directory_iterator();
       entry.increment(failure)) {
    if (ParseName(entry->path().filename().string())) {
      // Not remove_all, which needs system calls that some file systems lack.
      for (const auto& file : fs::directory_iterator(entry->path(), failure)) {
        fs::remove(file.path(), failure);
      }
      fs::remove(entry->path(), failure);
    }
  }
  if (failure && failure != std::errc::no_such_file_or_directory) {
    error->message_ = "can not remove the identities in " + data_dir + ": " +
                      failure.message();
    return false;
  }
  return true;
}

}  // namespace citronlane
