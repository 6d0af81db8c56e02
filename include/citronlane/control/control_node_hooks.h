#ifndef CITRONLANE_CONTROL_CONTROL_NODE_HOOKS_H_
#define CITRONLANE_CONTROL_CONTROL_NODE_HOOKS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace citronlane {

/// What a control node needs from the rest of the process. Every hook may be
/// called from any of its threads at once, and may be missing.
struct ControlNodeHooks {
  /// Takes one log line without its end.
  std::function<void(std::string_view)> log_;
  /// Returns the process's own text for /metrics, put before the node's.
  std::function<std::string()> metrics_text_;
  /// Milliseconds since 1970; the system clock when missing.
  std::function<uint64_t()> unix_ms_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_CONTROL_NODE_HOOKS_H_
