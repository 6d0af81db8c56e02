#ifndef CITRONLANE_STAGES_STAGE_OUTCOME_H_
#define CITRONLANE_STAGES_STAGE_OUTCOME_H_

#include <cstdint>
#include <string>
#include <vector>

namespace citronlane {

/// How a stage task ended.
struct StageOutcome {
  enum class Result {
    kDone,
    /// Its deadline passed.
    kLate,
    /// One of its inputs is gone.
    kInputGone,
    /// Nothing of it was sent, and the gateway that had it is going.
    kMoved,
    /// Its pieces failed too often, or there is no server.
    kFailed,
  };

  uint64_t task_ = 0;
  Result result_ = Result::kFailed;
  /// One a piece, in order, when it is done.
  std::vector<std::string> handles_;
  /// No piece was ever handed to a server.
  bool not_run_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_OUTCOME_H_
