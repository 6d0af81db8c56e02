#ifndef CITRONLANE_SERVING_STAGE_PIECE_H_
#define CITRONLANE_SERVING_STAGE_PIECE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// One piece of a stage as a backend server is asked for it.
struct StagePiece {
  std::string request_id_;
  uint32_t stage_ = 0;
  uint32_t piece_ = 0;
  Duration time_left_{};
  /// Results that the piece works on, in a stage that needs other stages'.
  bool has_inputs_ = false;
  std::vector<std::string> inputs_;
  /// In a stage that needs none.
  std::string key_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_STAGE_PIECE_H_
