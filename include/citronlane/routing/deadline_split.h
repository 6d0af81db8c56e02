#ifndef CITRONLANE_ROUTING_DEADLINE_SPLIT_H_
#define CITRONLANE_ROUTING_DEADLINE_SPLIT_H_

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/stage_time.h"

namespace citronlane {

/// Returns how much of `remaining` the next stage may take. `learned` has a
/// high quantile of the observed times of the next stage and of each later one,
/// in order; zero for unknown. With no entry, or an unknown one, the stage may
/// take all that is left. A negative `remaining` counts as zero. Thread safe.
StageTime SplitDeadline(Duration remaining, absl::Span<const Duration> learned);

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DEADLINE_SPLIT_H_
