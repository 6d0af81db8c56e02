#include "citronlane/observe/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "citronlane/base/steady_now.h"

namespace citronlane {
namespace {

/// Token bucket of the lines: several times what a busy gateway writes, and
/// little load for the reader of the log.
constexpr double kLinesPerSecond = 160;
constexpr double kBurstLines = 640;
/// Writes to a pipe are atomic up to this size (PIPE_BUF).
constexpr size_t kMaxAtomicWriteBytes = 4096;
/// Longer texts, such as a caller's request id, are cut so that the line is
/// written.
constexpr size_t kMaxTextBytes = 1024;
constexpr unsigned char kFirstPrintable = 0x20;

void AppendText(std::string_view text, std::string* line) {
  line->push_back('"');
  for (const char c : text.substr(0, kMaxTextBytes)) {
    if (c == '"' || c == '\\') {
      line->push_back('\\');
      line->push_back(c);
    } else if (static_cast<unsigned char>(c) < kFirstPrintable) {
      line->push_back(' ');
    } else {
      line->push_back(c);
    }
  }
  line->push_back('"');
}

void AppendField(std::string_view name,
                 std::string_view value,
                 bool is_number,
                 std::string* line) {
  line->append(",\"").append(name).append("\":");
  if (is_number) {
    line->append(value);
  } else {
    AppendText(value, line);
  }
}

bool WriteToStandardOutput(std::string_view line) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

int64_t WallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

EventLog::EventLog(std::string node, Hooks hooks)
    : node_(std::move(node)),
      hooks_(std::move(hooks)),
      tokens_(kBurstLines),
      refilled_(hooks_.now_()) {}

bool EventLog::TakeToken() {
  const TimePoint now = hooks_.now_();
  const std::chrono::duration<double> passed = now - refilled_;
  refilled_ = now;
  tokens_ = std::min(kBurstLines, tokens_ + passed.count() * kLinesPerSecond);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void EventLog::Write(std::string_view component,
                     std::string_view event,
                     std::initializer_list<LogField> fields) {
  if (!TakeToken()) {
    ++dropped_;
    ++unreported_;
    return;
  }
  std::string line = "{\"time_ms\":" + std::to_string(hooks_.wall_ms_());
  AppendField("node", node_, false, &line);
  AppendField("part", component, false, &line);
  AppendField("event", event, false, &line);
  for (const LogField& field : fields) {
    AppendField(field.name(), field.value(), field.is_number(), &line);
  }
  if (unreported_ > 0) {
    AppendField("lines_dropped", std::to_string(unreported_), true, &line);
  }
  line += "}\n";
  if (line.size() <= kMaxAtomicWriteBytes && hooks_.write_(line)) {
    unreported_ = 0;
  } else {
    ++dropped_;
    ++unreported_;
  }
}

EventLog::Hooks StandardOutputLog() {
  EventLog::Hooks hooks;
  hooks.write_ = WriteToStandardOutput;
  hooks.now_ = SteadyNow;
  hooks.wall_ms_ = WallMilliseconds;
  return hooks;
}

EventLog::Hooks LineLog(std::function<void(std::string_view line)> write) {
  EventLog::Hooks hooks = StandardOutputLog();
  hooks.write_ = [write = std::move(write)](std::string_view line) {
    line.remove_suffix(1);
    write(line);
    return true;
  };
  return hooks;
}

}  // namespace citronlane
