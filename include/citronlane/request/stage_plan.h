#ifndef CITRONLANE_REQUEST_STAGE_PLAN_H_
#define CITRONLANE_REQUEST_STAGE_PLAN_H_

#include <string>

namespace citronlane {

/// What a request must know of one of its stages.
struct StagePlan {
  std::string name_;
  /// The stage answers with a stream of tokens.
  bool streams_ = false;
  /// Never hedged, never called again once a byte of its call was sent.
  bool non_idempotent_ = false;
  /// An answer of 429 or 503 proves that nothing ran.
  bool rejection_means_not_run_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_STAGE_PLAN_H_
