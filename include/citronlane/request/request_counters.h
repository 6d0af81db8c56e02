#ifndef CITRONLANE_REQUEST_REQUEST_COUNTERS_H_
#define CITRONLANE_REQUEST_REQUEST_COUNTERS_H_

#include <array>
#include <cstdint>

#include "citronlane/request/retry_reason.h"

namespace citronlane {

/// Counts of events within one request, for metrics.
struct RequestCounters {
  /// Results, tokens or failures of attempts that were already closed.
  uint32_t late_results_ = 0;
  /// Replies that echoed another attempt's id.
  uint32_t wrong_ids_ = 0;
  /// Tokens that had been accepted before.
  uint32_t duplicate_tokens_ = 0;
  /// Streams that skipped a token.
  uint32_t stream_gaps_ = 0;
  uint32_t hedges_ = 0;
  /// Hedges that completed their stage.
  uint32_t hedge_wins_ = 0;
  /// Retries, indexed by RetryReason.
  std::array<uint32_t, kRetryReasons> retries_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_REQUEST_COUNTERS_H_
