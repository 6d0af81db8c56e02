#ifndef CITRONLANE_RELAY_DETAIL_STAGE_RUNNER_EVENTS_H_
#define CITRONLANE_RELAY_DETAIL_STAGE_RUNNER_EVENTS_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "citronlane/relay/stage_runner.h"

namespace citronlane {

/// Results of the hooks of jobs, each with its stage's index. Outlives the
/// runner. Used on the event loop's thread.
struct StageRunner::Events {
  std::vector<std::pair<size_t, StageOutcome>> outcomes_;
  /// Stages whose inputs were fetched.
  std::vector<size_t> inputs_taken_;
  /// Expected waits of the last announcement of all stages.
  std::vector<std::pair<size_t, StageWait>> waits_;
  uint32_t announcement_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_DETAIL_STAGE_RUNNER_EVENTS_H_
