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

/// Tells the replies to a pool's calls apart. They name no call, and a server
/// may send one twice, the second time where the next call's is expected: its
/// results would go to other requests. Pure. Not thread safe.
class StageReplyCheck {
 public:
  enum class Match {
    kOwn,
    /// It could as well answer another call: nothing was made, or something
    /// that an earlier reply named for the same piece.
    kMayBeOthers,
    /// Not one result a piece.
    kOtherSize,
    /// Names a result that an earlier reply named for another piece.
    kSeenBefore,
  };

  /// Replies are remembered for `memory`: longer than connections are kept
  /// between two calls.
  explicit StageReplyCheck(Duration memory);

  /// What a reply is to a call of `pieces`; remembers one that is its own.
  /// Precondition: `now` does not go back.
  Match Take(absl::Span<const StagePieceResult> results,
             absl::Span<const StagePiece> pieces,
             TimePoint now);

 private:
  void Forget(TimePoint now);
  void Remember(absl::Span<const StagePieceResult> results,
                absl::Span<const StagePiece> pieces,
                TimePoint now);

  const Duration memory_;
  /// By a hash of the result's handle, one of the piece that it was made for: a
  /// busy pool has thousands of them within the memory.
  std::unordered_map<uint64_t, uint64_t> seen_;
  std::deque<std::pair<TimePoint, uint64_t>> in_order_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_REPLY_CHECK_H_
