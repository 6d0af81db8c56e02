#ifndef CITRONLANE_ROUTING_DEADLINE_SPLIT_H_
#define CITRONLANE_ROUTING_DEADLINE_SPLIT_H_

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/stage_time.h"

namespace citronlane {

/// Derives from learned times what the next stage may take of `remaining`.
/// `learned` has a high quantile of the times of the next stage and of each one
/// behind it, in order; zero for unknown. With no entry, or an unknown one, the
/// stage may take all that is left. Thread safe.
StageTime SplitDeadline(Duration remaining, absl::Span<const Duration> learned);

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DEADLINE_SPLIT_H_
