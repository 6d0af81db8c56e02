#include "citronlane/state/fleet_state.h"

#include <algorithm>

#include "absl/strings/numbers.h"

namespace citronlane {
namespace {

/// First byte of a snapshot with more than the configuration: the log format
/// and the drained domains fill the rest of its first line. Any other snapshot
/// is the configuration's alone, which begins with a digit.
constexpr char kFirstLinePrefix = '!';
/// Not a valid name of a domain, so that it can stand before them.
constexpr std::string_view kFormatField = "format=";
constexpr std::string_view kFormatCommand = "!format ";

uint32_t ParseFormat(std::string_view text) {
  uint32_t format = 0;
  return absl::SimpleAtoi(std::string(text), &format) ? format : 0;
}

bool ConsumePrefix(std::string_view* text, std::string_view prefix) {
  const bool has_prefix = text->substr(0, prefix.size()) == prefix;
  text->remove_prefix(has_prefix ? prefix.size() : 0);
  return has_prefix;
}

}  // namespace

std::string FleetState::LogFormatCommand(uint32_t format) {
  return std::string(kFormatCommand) + std::to_string(format);
}

FleetState::Change FleetState::Apply(std::string_view command) {
  if (DrainedDomains::IsCommand(command)) {
    return drained_.Apply(command) ? Change::kDrainedDomains : Change::kNothing;
  }
  if (ConsumePrefix(&command, kFormatCommand)) {
    const uint32_t format = ParseFormat(command);
    const bool is_newer = format > log_format_;
    log_format_ = std::max(log_format_, format);
    return is_newer ? Change::kLogFormat : Change::kNothing;
  }
  return config_.Apply(command) ? Change::kConfig : Change::kNothing;
}

std::string FleetState::Snapshot() const {
  std::string line = drained_.Snapshot();
  if (log_format_ != 0) {
    line.insert(0,
                std::string(kFormatField) + std::to_string(log_format_) + " ");
  }
  const std::string config = config_.Snapshot();
  return line.empty() ? config : kFirstLinePrefix + line + '\n' + config;
}

void FleetState::Restore(std::string_view snapshot) {
  std::string_view line;
  if (!snapshot.empty() && snapshot.front() == kFirstLinePrefix) {
    const size_t end = std::min(snapshot.find('\n'), snapshot.size() - 1);
    line = snapshot.substr(1, end - 1);
    snapshot.remove_prefix(end + 1);
  }
  log_format_ = 0;
  if (ConsumePrefix(&line, kFormatField)) {
    const size_t end = std::min(line.find(' '), line.size());
    log_format_ = ParseFormat(line.substr(0, end));
    line.remove_prefix(end);
  }
  drained_.Restore(line);
  config_.Restore(snapshot);
}

}  // namespace citronlane
