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

/// Structured log of one process: one JSON object a line, for each decision
/// that touches a request or changes what the process believes. Bounded: under
/// a flood the lines beyond a rate are counted instead of written, and the next
/// line says how many. Not thread safe.
class EventLog {
 public:
  struct Hooks {
    /// Writes one line with its end; false when it could not without waiting.
    std::function<bool(std::string_view line)> write_;
    std::function<TimePoint()> now_;
    /// Milliseconds since 1970, for the reader; decides nothing.
    std::function<int64_t()> wall_ms_;
  };

  /// `node` names the process in every line.
  EventLog(std::string node, Hooks hooks);

  /// `part` is the fixed prefix of a part of the process, e.g. "relay".
  void Write(std::string_view part,
             std::string_view event,
             std::initializer_list<LogField> fields);

  uint64_t dropped() const { return dropped_; }

 private:
  bool TakeToken();

  const std::string node_;
  const Hooks hooks_;
  double tokens_;
  TimePoint refilled_;
  uint64_t dropped_ = 0;
  uint64_t unreported_ = 0;
};

/// Hooks that write to standard output and read the machine's clocks.
EventLog::Hooks StandardOutputLog();

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_EVENT_LOG_H_
