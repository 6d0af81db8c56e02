#ifndef CITRONLANE_OBSERVE_EVENT_LOG_H_
#define CITRONLANE_OBSERVE_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/observe/log_field.h"

namespace citronlane {

/// Structured log of one process, with a JSON object per line for each decision
/// that affects a request or the state of the process. It is not for debug
/// messages; see Logger. Lines beyond a rate are dropped and counted; the next
/// line written has their number as "lines_dropped". Not thread safe.
class EventLog {
 public:
  struct Hooks {
    /// Writes one line, which ends with a newline, or returns false when that
    /// would block.
    std::function<bool(std::string_view line)> write_;
    /// Monotonic clock, for the rate.
    std::function<TimePoint()> now_;
    /// Unix time in milliseconds, for the timestamp of a line.
    std::function<int64_t()> wall_ms_;
  };

  /// `node` names the process in every line. All hooks must be set.
  EventLog(std::string node, Hooks hooks);

  /// Writes a line, or drops and counts it when it is beyond the rate, longer
  /// than 4096 bytes, or can't be written without blocking. `component` is the
  /// fixed name of a component, e.g. "relay". Control characters in values are
  /// replaced by spaces.
  void Write(std::string_view component,
             std::string_view event,
             std::initializer_list<LogField> fields);

  /// Number of lines dropped so far.
  uint64_t dropped() const { return dropped_; }

 private:
  bool TakeToken();

  const std::string node_;
  const Hooks hooks_;
  double tokens_;
  TimePoint refilled_;
  uint64_t dropped_ = 0;
  /// Dropped lines that no written line has reported yet.
  uint64_t unreported_ = 0;
};

/// Returns hooks that write to standard output and read the system's clocks.
EventLog::Hooks StandardOutputLog();
/// Returns hooks that pass each line to `write`, without its newline, and read
/// the system's clocks.
EventLog::Hooks LineLog(std::function<void(std::string_view line)> write);

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_EVENT_LOG_H_
