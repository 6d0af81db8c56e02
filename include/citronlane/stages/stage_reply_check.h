#ifndef CITRONLANE_STAGES_STAGE_REPLY_CHECK_H_
#define CITRONLANE_STAGES_STAGE_REPLY_CHECK_H_

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/serving/stage_piece.h"
#include "citronlane/serving/stage_piece_result.h"

namespace citronlane {

/// Checks that a reply belongs to the call it arrived for. Replies carry no
/// call id, and a server may send one twice, the second time where the next
/// call's reply is expected: its results would go to other requests. It does
/// not check whether the pieces succeeded. Not thread safe.
class StageReplyCheck {
 public:
  enum class Match {
    /// The reply belongs to the call.
    kOwn,
    /// It may belong to another call: it names no result, or one that an
    /// earlier reply named for the same piece.
    kAmbiguous,
    /// The number of results differs from the number of pieces.
    kSizeMismatch,
    /// It names a result that an earlier reply named for another piece.
    kDuplicateHandle,
  };

  /// Handles are remembered for `retention`, which must be longer than idle
  /// connections are kept open.
  explicit StageReplyCheck(Duration retention);

  /// Classifies a reply to a call with `pieces`, and remembers its handles
  /// unless it is kSizeMismatch or kDuplicateHandle. Precondition: `now` never
  /// decreases between calls.
  Match Take(absl::Span<const StagePieceResult> results,
             absl::Span<const StagePiece> pieces,
             TimePoint now);

 private:
  void Expire(TimePoint now);
  void Remember(absl::Span<const StagePieceResult> results,
                absl::Span<const StagePiece> pieces,
                TimePoint now);

  const Duration retention_;
  /// Hash of the piece, by hash of its result's handle. Hashes save memory: a
  /// busy pool has thousands of them within the retention time.
  std::unordered_map<uint64_t, uint64_t> piece_by_handle_;
  /// Handle hashes by the time they were added.
  std::deque<std::pair<TimePoint, uint64_t>> in_order_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_REPLY_CHECK_H_
