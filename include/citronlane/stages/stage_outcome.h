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
    /// Its deadline passed, or could not be met.
    kLate,
    /// One of its inputs is gone, also when it was released after servers had
    /// fetched it and their call was lost.
    kInputGone,
    /// It did not run, and the gateway that had it is shutting down: another
    /// one may run it.
    kMoved,
    /// One of its pieces failed too often.
    kFailed,
  };

  uint64_t task_ = 0;
  Result result_ = Result::kFailed;
  /// The handle of each piece's result, in order; only for kDone.
  std::vector<std::string> handles_;
  /// No server can have run any piece of it.
  bool not_run_ = false;
  /// No server can have got any piece of it.
  bool not_sent_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_OUTCOME_H_
