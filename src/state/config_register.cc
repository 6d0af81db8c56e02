#include "citronlane/state/config_register.h"

#include <charconv>
#include <utility>

#include "citronlane/fleet/document_patch.h"

namespace citronlane {
namespace {

constexpr char kSeparator = '\n';
/// Begins a difference; other commands begin with a digit.
constexpr char kDifference = '+';

/// Takes a decimal number and the character that ends it off the front.
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

// The version in decimal, a line end, the document.
std::string ConfigRegister::Command(uint64_t version,
                                    std::string_view document) {
  std::string command = std::to_string(version);
  command.push_back(kSeparator);
  command.append(document);
  return command;
}

// A plus sign, the version and its base in decimal, each before a line end, and
// the difference.
std::optional<std::string> ConfigRegister::DifferenceCommand(
    uint64_t version,
    std::string_view document,
    Error* error) const {
  const auto difference = EncodeDocument(document, document_, error);
  if (!difference) {
    return std::nullopt;
  }
  std::string command(1, kDifference);
  command += std::to_string(version) + kSeparator;
  command += std::to_string(version_) + kSeparator;
  return command + *difference;
}

bool ConfigRegister::Apply(std::string_view command) {
  if (!command.empty() && command.front() == kDifference) {
    return ApplyDifference(command.substr(1));
  }
  const auto version = TakeNumber(&command, kSeparator);
  return version && Keep(*version, std::string(command));
}

bool ConfigRegister::ApplyDifference(std::string_view command) {
  const auto version = TakeNumber(&command, kSeparator);
  const auto base = TakeNumber(&command, kSeparator);
  if (!version || !base || is_empty_ || *base != version_) {
    return false;
  }
  // The checksum in the data makes a wrong result impossible; on every VM the
  // same command meets the same base.
  Error ignored;
  auto document = DecodeDocument(command, document_, &ignored);
  return document && Keep(*version, std::move(*document));
}

bool ConfigRegister::Keep(uint64_t version, std::string document) {
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
