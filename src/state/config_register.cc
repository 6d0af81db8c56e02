#include "citronlane/state/config_register.h"

#include <charconv>
#include <utility>

#include "citronlane/fleet/document_patch.h"

namespace citronlane {
namespace {

constexpr char kSeparator = '\n';
/// First byte of a difference command; other commands begin with a digit.
constexpr char kDifferencePrefix = '+';

/// Removes a decimal number and the character `end` after it from the front of
/// `text` and returns the number.
std::optional<uint64_t> TakeNumber(std::string_view* text, char end) {
  const size_t length = text->find(end);
  if (length == std::string_view::npos) {
    return std::nullopt;
  }
  uint64_t number = 0;
  const char* const last = text->data() + length;
  const auto parsed = std::from_chars(text->data(), last, number);
  if (parsed.ec != std::errc() || parsed.ptr != last) {
    return std::nullopt;
  }
  text->remove_prefix(length + 1);
  return number;
}

}  // namespace

// Format: the version in decimal, a line feed, the document.
std::string ConfigRegister::Command(uint64_t version,
                                    std::string_view document) {
  std::string command = std::to_string(version);
  command.push_back(kSeparator);
  command.append(document);
  return command;
}

// Format: a plus sign, the version and its base version in decimal, each
// followed by a line feed, and the encoded difference.
std::optional<std::string> ConfigRegister::DifferenceCommand(
    uint64_t version,
    std::string_view document,
    Error* error) const {
  const auto difference = EncodeDocument(document, document_, error);
  if (!difference) {
    return std::nullopt;
  }
  std::string command(1, kDifferencePrefix);
  command += std::to_string(version) + kSeparator;
  command += std::to_string(version_) + kSeparator;
  return command + *difference;
}

bool ConfigRegister::Apply(std::string_view command) {
  if (!command.empty() && command.front() == kDifferencePrefix) {
    return StoreDifference(command.substr(1));
  }
  const auto version = TakeNumber(&command, kSeparator);
  return version && StoreIfNewer(*version, std::string(command));
}

bool ConfigRegister::StoreDifference(std::string_view command) {
  const auto version = TakeNumber(&command, kSeparator);
  const auto base = TakeNumber(&command, kSeparator);
  if (!version || !base || is_empty_ || *base != version_) {
    return false;
  }
  // The checksum in the encoded difference excludes a wrong result, and every
  // VM applies the command to the same base.
  Error ignored;
  auto document = DecodeDocument(command, document_, &ignored);
  return document && StoreIfNewer(*version, std::move(*document));
}

bool ConfigRegister::StoreIfNewer(uint64_t version, std::string document) {
  if (Holds(version)) {
    return false;
  }
  is_empty_ = false;
  version_ = version;
  document_ = std::move(document);
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
