#ifndef CITRONLANE_TRANSPORT_LISTENER_LOG_H_
#define CITRONLANE_TRANSPORT_LISTENER_LOG_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"

namespace citronlane {

/// Writes a line when a listener refuses a request unread or closes a
/// connection for another one: at most one a second, which says how many were
/// left out, since a crowd of callers causes thousands. Thread safe.
class ListenerLog {
 public:
  struct Hooks {
    /// Receives one line without its line feed.
    std::function<void(std::string_view line)> write_;
    std::function<TimePoint()> now_;
  };

  /// Both hooks must be set. `listener` is part of each line.
  ListenerLog(std::string listener, Hooks hooks);

  /// See HttpListenerHooks::refuse_.
  void OnRefused(RefusalReason reason);
  /// See HttpListenerHooks::place_lost_.
  void OnPlaceLost(std::string_view phase, Duration stall);

 private:
  void Write(const std::string& text);

  const std::string listener_;
  const Hooks hooks_;
  std::atomic<TimePoint> next_line_{TimePoint()};
  std::atomic<uint64_t> left_out_{0};
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_LISTENER_LOG_H_
