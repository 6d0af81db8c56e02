#ifndef CITRONLANE_SERVING_STAGE_PIECE_H_
#define CITRONLANE_SERVING_STAGE_PIECE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// One piece of a stage, as it is requested from a backend server.
struct StagePiece {
  std::string request_id_;
  uint32_t stage_ = 0;
  uint32_t piece_ = 0;
  Duration time_left_{};
  /// Handles of the results that the piece works on, if its stage depends on
  /// others.
  bool has_inputs_ = false;
  std::vector<std::string> inputs_;
  /// Key that the piece works on, if its stage depends on no other.
  std::string key_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_STAGE_PIECE_H_
