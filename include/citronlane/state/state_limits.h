#ifndef CITRONLANE_STATE_STATE_LIMITS_H_
#define CITRONLANE_STATE_STATE_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace citronlane {

/// Bounds of the replicated state. The same on every control VM: the leader
/// writes the values it uses into each command that depends on them, so a
/// difference between VMs can't make their states differ.
struct StateLimits {
  /// Versions kept whole in the history.
  uint32_t history_versions_ = 64;
  /// How long a change id is remembered, so that a resend gets the first
  /// result.
  uint64_t change_id_window_ms_ = 24ULL * 3600 * 1000;
  /// How long a finished or lost claim is remembered.
  uint64_t claim_retention_ms_ = 24ULL * 3600 * 1000;
  /// How long a released claim is remembered against late duplicates.
  uint64_t release_retention_ms_ = 60ULL * 1000;
  /// Claims held at once; more are refused, none is forgotten early.
  uint64_t max_claims_ = 1000000;
  /// Largest stored answer, and all of them together, in bytes. An answer
  /// beyond is not stored; its key stays.
  uint64_t answer_bytes_ = 64ULL * 1024;
  uint64_t total_answer_bytes_ = 64ULL * 1024 * 1024;
  /// Refusals kept; the oldest are dropped and counted.
  uint64_t refusals_ = 100000;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_STATE_LIMITS_H_
