#ifndef CITRONLANE_CONTROL_REPLICA_HOOKS_H_
#define CITRONLANE_CONTROL_REPLICA_HOOKS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "citronlane/consensus/role.h"

namespace citronlane {

/// Hooks of a Replica. It calls them one at a time, on its own thread or within
/// Replica::Start.
struct ReplicaHooks {
  /// Applies a committed command and returns the result for its proposer. Must
  /// be deterministic: the same commands in the same order give the same
  /// results on every node.
  std::function<std::string(uint64_t index, std::string_view payload)> apply_;
  /// A command was appended to this node's log, committed or not.
  std::function<void(uint64_t index, std::string_view payload)> appended_;
  /// Log entries from `index` on were replaced by another leader's.
  std::function<void(uint64_t index)> truncated_;
  /// Returns the complete applied state.
  std::function<std::string()> take_snapshot_;
  /// Replaces the applied state.
  std::function<void(uint64_t index, std::string_view data)> install_snapshot_;
  /// The node's role or term changed.
  std::function<void(Role role, uint64_t term)> role_changed_;
  /// Receives one log line. May be empty, as all hooks except `apply_`.
  std::function<void(std::string_view line)> log_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_REPLICA_HOOKS_H_
