#ifndef CITRONLANE_CONTROL_CONTROL_NODE_HOOKS_H_
#define CITRONLANE_CONTROL_CONTROL_NODE_HOOKS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "citronlane/base/refusal_reason.h"

namespace citronlane {

/// Hooks that a control node calls. Each may be called concurrently from
/// several of the node's threads, and may be empty.
struct ControlNodeHooks {
  /// Receives one log line without its line feed.
  std::function<void(std::string_view)> log_;
  /// Returns the process's own metrics, placed before the node's in /metrics.
  std::function<std::string()> metrics_text_;
  /// A call to the administration API could not be read, or there was no place
  /// for it.
  std::function<void(RefusalReason)> on_unread_;
  /// A connection to the administration API was closed because others needed
  /// its place; see HttpListenerHooks::place_lost_.
  std::function<void(std::string_view phase)> on_place_lost_;
  /// Returns milliseconds since 1970; the system clock is used when empty.
  std::function<uint64_t()> unix_ms_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_NODE_HOOKS_H_
