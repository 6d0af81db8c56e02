#ifndef CITRONLANE_STAGES_STAGE_BATCH_H_
#define CITRONLANE_STAGES_STAGE_BATCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/serving/stage_piece.h"

namespace citronlane {

/// One call to a server of a stage pool.
struct StageBatch {
  uint64_t call_ = 0;
  std::string server_;
  /// What the server calls itself.
  std::string server_name_;
  std::string address_;
  std::vector<StagePiece> pieces_;
  /// The call is given up then.
  TimePoint deadline_;
  /// What the server keeps of earlier calls, and what is left of its room for
  /// results once this call's are made.
  uint64_t kept_bytes_ = 0;
  uint64_t room_left_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_BATCH_H_
