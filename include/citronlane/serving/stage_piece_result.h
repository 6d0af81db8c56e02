#ifndef CITRONLANE_SERVING_STAGE_PIECE_RESULT_H_
#define CITRONLANE_SERVING_STAGE_PIECE_RESULT_H_

#include <string>

namespace citronlane {

/// What a backend server made of one piece.
struct StagePieceResult {
  enum class Outcome {
    kDone,
    /// Its time was over before its turn.
    kLate,
    /// One of its inputs is gone.
    kInputGone,
    /// The server has no room for the result.
    kNoRoom,
    kFailed,
  };

  Outcome outcome_ = Outcome::kFailed;
  /// Names the result at its maker, "IP:port/...".
  std::string handle_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_STAGE_PIECE_RESULT_H_
