#ifndef CITRONLANE_STATE_STATE_LIMITS_H_
#define CITRONLANE_STATE_STATE_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace citronlane {

/// Bounds of the replicated state. The leader writes the values it uses into
/// each command that depends on them, so that different settings on different
/// control VMs can not make their states differ.
struct StateLimits {
  /// Versions whose records and patches are kept in the history.
  uint32_t history_versions_ = 64;
  /// How long the result of a change id is kept, so that a resend gets it
  /// again.
  uint64_t change_id_window_ms_ = 24ULL * 3600 * 1000;
  /// How long a finished or lost claim is kept.
  uint64_t claim_retention_ms_ = 24ULL * 3600 * 1000;
  /// How long a released claim is kept, to reject late duplicates of its call.
  uint64_t release_retention_ms_ = 60ULL * 1000;
  /// Maximum number of claims held. More are refused; none is removed early.
  uint64_t max_claims_ = 1000000;
  /// Maximum size in bytes of one stored answer and of all together. An answer
  /// beyond either is not stored; its claim is kept.
  uint64_t answer_bytes_ = 64ULL * 1024;
  uint64_t total_answer_bytes_ = 64ULL * 1024 * 1024;
  /// Refusals kept; the oldest are dropped and counted.
  uint64_t refusals_ = 100000;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_STATE_LIMITS_H_
