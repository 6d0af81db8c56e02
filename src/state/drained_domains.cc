#include "citronlane/state/drained_domains.h"

#include <algorithm>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace citronlane {
namespace {

constexpr size_t kMaxDomainNameLength = 64;
constexpr std::string_view kDrain = "!drain ";
constexpr std::string_view kUndrain = "!undrain ";

bool HasPrefix(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

bool IsNameCharacter(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' ||
         c == '_' || c == '-';
}

}  // namespace

bool DrainedDomains::IsName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxDomainNameLength &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

std::string DrainedDomains::Command(std::string_view domain, bool is_drained) {
  return std::string(is_drained ? kDrain : kUndrain) + std::string(domain);
}

bool DrainedDomains::IsCommand(std::string_view command) {
  return HasPrefix(command, kDrain) || HasPrefix(command, kUndrain);
}

bool DrainedDomains::Apply(std::string_view command) {
  const bool is_drained = HasPrefix(command, kDrain);
  if (!IsCommand(command)) {
    return false;
  }
  command.remove_prefix(is_drained ? kDrain.size() : kUndrain.size());
  const std::string name(command);
  if (!IsName(name) || !HasCapacityFor(name)) {
    return false;
  }
  return is_drained ? names_.insert(name).second : names_.erase(name) > 0;
}

bool DrainedDomains::HasCapacityFor(std::string_view domain) const {
  return names_.size() < kMaxDomains || names_.count(domain) > 0;
}

std::string DrainedDomains::Snapshot() const {
  return absl::StrJoin(names_, " ");
}

void DrainedDomains::Restore(std::string_view snapshot) {
  names_.clear();
  const std::vector<std::string> names =
      absl::StrSplit(std::string(snapshot), ' ', absl::SkipEmpty());
  names_.insert(names.begin(), names.end());
}

}  // namespace citronlane
