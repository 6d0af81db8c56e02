#include "citronlane/state/config_register.h"

#include <charconv>

namespace citronlane {
namespace {

constexpr char kSeparator = '\n';

}  // namespace

// The version in decimal, a line end, the document.
std::string ConfigRegister::Command(uint64_t version,
                                    std::string_view document) {
  std::string command = std::to_string(version);
  command.push_back(kSeparator);
  command.append(document);
  return command;
}

bool ConfigRegister::Apply(std::string_view command) {
  const size_t end = command.find(kSeparator);
  if (end == std::string_view::npos) {
    return false;
  }
  uint64_t version = 0;
  const char* const last = command.data() + end;
  const auto parsed = std::from_chars(command.data(), last, version);
  if (parsed.ec != std::errc() || parsed.ptr != last ||
      (!is_empty_ && version <= version_)) {
    return false;
  }
  is_empty_ = false;
  version_ = version;
  document_.assign(command.substr(end + 1));
  return true;
}

std::string ConfigRegister::Snapshot() const {
  return is_empty_ ? std::string() : Command(version_, document_);
}

void ConfigRegister::Restore(std::string_view snapshot) {
  *this = ConfigRegister();
  if (!snapshot.empty()) {
    Apply(snapshot);
  }
}

}  // namespace citronlane
