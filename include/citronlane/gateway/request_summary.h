#ifndef CITRONLANE_GATEWAY_REQUEST_SUMMARY_H_
#define CITRONLANE_GATEWAY_REQUEST_SUMMARY_H_

#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"
#include "citronlane/base/verdict.h"
#include "citronlane/gateway/stage_cost.h"
#include "citronlane/request/request_counters.h"

namespace citronlane {

/// Outcome of one admitted request, for metrics.
struct RequestSummary {
  std::string account_;
  std::string class_name_;
  /// Name of the pipeline or service.
  std::string target_;
  bool complete_ = false;
  /// Why the request failed. Meaningful only if complete_ is false.
  RefusalReason reason_ = RefusalReason::kInternal;
  Verdict verdict_ = Verdict::kNotRun;
  /// Whether the latency targets of the class were met.
  bool met_target_ = false;
  Duration answer_time_{};
  std::optional<Duration> first_token_time_;
  std::vector<StageCost> costs_;
  RequestCounters counters_;

  /// Returns the total cost of all stages, in micro-units.
  double Cost() const;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_REQUEST_SUMMARY_H_
