#ifndef CITRONLANE_GATEWAY_CLAIM_ANSWER_H_
#define CITRONLANE_GATEWAY_CLAIM_ANSWER_H_

#include "citronlane/gateway/stored_answer.h"

namespace citronlane {

/// What the control quorum says of a claim.
struct ClaimAnswer {
  enum class Result {
    /// No quorum answered: the request must not run.
    kUnavailable,
    kGranted,
    kRunning,
    kFinished,
    kKeyReused,
    kOwnerLost,
  };
  Result result_ = Result::kUnavailable;
  /// With kFinished only.
  StoredAnswer stored_;
  /// With kFinished: the answer was too large to be stored.
  bool answer_dropped_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CLAIM_ANSWER_H_
