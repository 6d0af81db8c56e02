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
  /// Name under which the server registered; the id may add its incarnation.
  std::string server_name_;
  std::string address_;
  std::vector<StagePiece> pieces_;
  /// When the sender must give up the call.
  TimePoint deadline_;
  /// Bytes of results that the server holds from earlier calls, and free bytes
  /// of its capacity for results once this call's are made.
  uint64_t kept_bytes_ = 0;
  uint64_t room_left_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_BATCH_H_
