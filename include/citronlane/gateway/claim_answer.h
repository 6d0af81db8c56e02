#ifndef CITRONLANE_GATEWAY_CLAIM_ANSWER_H_
#define CITRONLANE_GATEWAY_CLAIM_ANSWER_H_

#include "citronlane/gateway/stored_answer.h"

namespace citronlane {

/// Reply of the control quorum to a claim on an Idempotency-Key.
struct ClaimAnswer {
  enum class Result {
    /// No quorum replied in time: the request must not run.
    kUnavailable,
    /// The request may run; its claim must be finished or released.
    kGranted,
    /// A request with this key is in progress.
    kRunning,
    /// A request with this key has finished; see stored_.
    kFinished,
    /// The key was used with another method, path or body.
    kKeyReused,
    /// The gateway that ran the request is gone; whether it ran is unknown.
    kOwnerLost,
  };
  Result result_ = Result::kUnavailable;
  /// Set with kFinished only.
  StoredAnswer stored_;
  /// With kFinished: the answer was too large to be stored.
  bool answer_dropped_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CLAIM_ANSWER_H_
