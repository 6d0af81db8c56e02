#ifndef CITRONLANE_SERVING_STAGE_PIECE_RESULT_H_
#define CITRONLANE_SERVING_STAGE_PIECE_RESULT_H_

#include <string>

namespace citronlane {

/// A backend server's result of one piece.
struct StagePieceResult {
  enum class Outcome {
    kDone,
    /// Its deadline passed before its turn.
    kLate,
    /// One of its inputs is gone.
    kInputGone,
    /// The server is out of capacity for the result.
    kOutOfCapacity,
    kFailed,
  };

  Outcome outcome_ = Outcome::kFailed;
  /// Handle of the result, "IP:port/...", with the address of its producer.
  std::string handle_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_STAGE_PIECE_RESULT_H_
