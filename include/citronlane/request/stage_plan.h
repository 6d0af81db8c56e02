#ifndef CITRONLANE_REQUEST_STAGE_PLAN_H_
#define CITRONLANE_REQUEST_STAGE_PLAN_H_

#include <string>

namespace citronlane {

/// Properties of a stage that its request depends on.
struct StagePlan {
  std::string name_;
  /// The stage replies with a stream of tokens.
  bool streams_ = false;
  /// Never hedged, and never called again once a byte of a call was sent,
  /// unless the server proved that it did not run.
  bool non_idempotent_ = false;
  /// A reply of 429 or 503 proves that nothing ran.
  bool rejection_means_not_run_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_STAGE_PLAN_H_
