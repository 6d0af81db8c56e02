#ifndef CITRONLANE_RELAY_DETAIL_STAGE_RUNNER_ANSWERS_H_
#define CITRONLANE_RELAY_DETAIL_STAGE_RUNNER_ANSWERS_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "citronlane/relay/stage_runner.h"

namespace citronlane {

/// What the hooks of jobs fill in, each with the stage's index. Outlives the
/// runner. On the event loop's thread.
struct StageRunner::Answers {
  std::vector<std::pair<size_t, StageOutcome>> new_;
  /// Stages whose inputs were fetched.
  std::vector<size_t> taken_;
  /// Of the last announcement of all stages.
  std::vector<std::pair<size_t, StageWait>> waits_;
  uint32_t announcement_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_DETAIL_STAGE_RUNNER_ANSWERS_H_
